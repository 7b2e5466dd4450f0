package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const headerStages = "Server-Timing" // trailer with the stage times

// encodeChat writes a chat answer as JSON or as server-sent events.
func encodeChat(ctx context.Context, w http.ResponseWriter, response any) error {
	a := response.(*model.Answer)
	defer a.Frames.Close()
	writeAnswerHeaders(w, a)
	if wantsStream(ctx) {
		return streamChat(ctx, w, a)
	}
	return writeChat(ctx, w, a)
}

func writeAnswerHeaders(w http.ResponseWriter, a *model.Answer) {
	h := w.Header()
	h.Set(headerRequest, string(a.Request))
	h.Set(headerReturnToken, a.ReturnToken)
	h.Set("Trailer", headerStages)
}

// chatChunk is a chat completion, or one chunk of a streamed one, in the OpenAI
// format.
type chatChunk struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason string       `json:"finish_reason,omitempty"`
}

type chatUsage struct {
	CachedTokens int64              `json:"cached_tokens"`
	StageMS      map[string]float64 `json:"stage_ms"`
}

func streamChat(ctx context.Context, w http.ResponseWriter, a *model.Answer) error {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	for {
		f, err := a.Frames.Next(ctx)
		if errors.Is(err, io.EOF) {
			w.Header().Set(headerStages, stageHeader(a.Stages))
			return nil
		}
		if err == nil {
			err = writeEvent(w, a, f)
		} else {
			writeErrorEvent(w, err)
		}
		if err != nil {
			return nil // the status is already sent; the missing [DONE] marks the answer as truncated
		}
		if err := rc.Flush(); err != nil {
			return nil
		}
	}
}

func writeEvent(w io.Writer, a *model.Answer, f model.Frame) error {
	chunk := chatChunk{ID: string(a.Request), Object: "chat.completion.chunk"}
	if f.Kind == model.FrameEnd {
		chunk.Choices = []chatChoice{{FinishReason: "stop", Delta: &chatMessage{}}}
		chunk.Usage = &chatUsage{CachedTokens: a.CachedUnits, StageMS: stageMillis(a.Stages)}
	} else {
		chunk.Choices = []chatChoice{{Delta: &chatMessage{Role: "assistant", Content: string(f.Data)}}}
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	end := ""
	if f.Kind == model.FrameEnd {
		end = "data: [DONE]\n\n"
	}
	_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n%s", f.Index, data, end)
	return err
}

func writeErrorEvent(w io.Writer, err error) {
	data, _ := json.Marshal(problemOf(model.AsRefusal(err)))
	_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", data)
}

// writeChat writes the answer as one JSON document.
func writeChat(ctx context.Context, w http.ResponseWriter, a *model.Answer) error {
	var text strings.Builder
	if err := collect(ctx, a, &text); err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(w).Encode(chatChunk{
		ID: string(a.Request), Object: "chat.completion",
		Choices: []chatChoice{{Message: &chatMessage{Role: "assistant", Content: text.String()}, FinishReason: "stop"}},
		Usage:   &chatUsage{CachedTokens: a.CachedUnits, StageMS: stageMillis(a.Stages)},
	})
	w.Header().Set(headerStages, stageHeader(a.Stages))
	return err
}

// encodeService writes the answer of a service.
func encodeService(ctx context.Context, w http.ResponseWriter, response any) error {
	a := response.(*model.Answer)
	defer a.Frames.Close()
	var body strings.Builder
	if err := collect(ctx, a, &body); err != nil {
		return err
	}
	writeAnswerHeaders(w, a)
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	w.WriteHeader(a.Status)
	_, err := io.WriteString(w, body.String())
	w.Header().Set(headerStages, stageHeader(a.Stages))
	return err
}

// collect reads an answer to its end. A truncated answer is an error, so that the
// caller never mistakes a part for the whole.
func collect(ctx context.Context, a *model.Answer, out *strings.Builder) error {
	for {
		f, err := a.Frames.Next(ctx)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if f.Kind != model.FrameEnd {
			out.Write(f.Data)
		}
	}
}

func stageHeader(t *model.StageTimes) string {
	parts := make([]string, 0, model.StageCount)
	for s := range model.StageCount {
		parts = append(parts, fmt.Sprintf("%s;dur=%.3f", s, t.Get(s).Seconds()*1000))
	}
	return strings.Join(parts, ", ")
}

func stageMillis(t *model.StageTimes) map[string]float64 {
	out := make(map[string]float64, model.StageCount)
	for s := range model.StageCount {
		out[s.String()] = t.Get(s).Seconds() * 1000
	}
	return out
}

// problem is an RFC 9457 problem document with the outcome of the request.
type problem struct {
	Type    string        `json:"type"`
	Title   string        `json:"title"`
	Status  int           `json:"status"`
	Detail  string        `json:"detail,omitempty"`
	Outcome model.Outcome `json:"outcome"`
}

func problemOf(r *model.Refusal) problem {
	return problem{
		Type: "urn:goldcrestturn:" + string(r.Reason), Title: strings.ReplaceAll(string(r.Reason), "_", " "),
		Status: statusOf(r.Reason), Detail: r.Detail, Outcome: r.Outcome,
	}
}

// encodeError writes a refusal.
func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	r := model.AsRefusal(err)
	w.Header().Set("Content-Type", "application/problem+json")
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	p := problemOf(r)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func statusOf(reason model.Reason) int {
	switch reason {
	case model.ReasonBadRequest:
		return http.StatusBadRequest
	case model.ReasonUnauthorised:
		return http.StatusUnauthorized
	case model.ReasonForbidden:
		return http.StatusForbidden
	case model.ReasonNoRoute:
		return http.StatusNotFound
	case model.ReasonDuplicate, model.ReasonVoided:
		return http.StatusConflict
	case model.ReasonSuspect:
		return http.StatusUnprocessableEntity
	case model.ReasonLimit:
		return http.StatusTooManyRequests
	case model.ReasonDeadline:
		return http.StatusGatewayTimeout
	case model.ReasonEndpointFailed, model.ReasonCrashed, model.ReasonUnreachable, model.ReasonInternal:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
