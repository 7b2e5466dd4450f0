package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/standin"
)

// Bounds on what an answer may hold.
const (
	maxLine = 1 << 20
	maxBody = 4 << 20
)

// Pauses between the attempts of a call. A longer Retry-After is honoured up to
// maxPause, so that a run ends in time.
const (
	minPause = 50 * time.Millisecond
	maxPause = 2 * time.Second
)

// receiver sends a call as often as its attempts allow and checks the answer.
type receiver struct {
	s      Settings
	sender *sender
}

// attempt is what one attempt yielded.
type attempt struct {
	done       bool
	refusal    *refusal
	retryAfter time.Duration
	final      bool // another attempt cannot help
	err        error
}

// handle runs one call to its end.
func (r *receiver) handle(ctx context.Context, c call) (result, string) {
	res := result{call: c, verdict: failed}
	text := &answerText{call: c}
	start := time.Now()
	for n := 0; n < r.s.Chats.Attempts; n++ {
		if n > 0 && !pauseBefore(ctx, n, text.last.retryAfter) {
			break
		}
		res.attempts++
		if text.tokens > 0 {
			res.resumed++
		}
		text.last = r.once(ctx, c, c.Entry+n, text, &res)
		if text.last.refusal != nil {
			res.refusals = append(res.refusals, *text.last.refusal)
		}
		if text.last.done || text.last.final || text.wrong != "" {
			break
		}
	}
	res.total = time.Since(start)
	res.gaps = text.gaps
	switch {
	case text.wrong != "":
		res.verdict, res.detail = wrong, text.wrong
	case text.last.done:
		res.verdict = whole
	case text.tokens > 0:
		res.verdict, res.detail = cut, fmt.Sprint(text.last.err)
	case text.last.refusal != nil:
		res.verdict = refused
	default:
		res.detail = fmt.Sprint(text.last.err)
	}
	return res, text.text.String()
}

// answerText collects the tokens of one answer over all attempts and compares
// each with the one that the engine stand-in must give.
type answerText struct {
	call   call
	tokens int
	text   strings.Builder
	wrong  string
	at     time.Time // of the last token
	gaps   []time.Duration
	last   attempt
}

// pauseBefore waits before attempt n and reports whether ctx still runs.
func pauseBefore(ctx context.Context, n int, retryAfter time.Duration) bool {
	d := min(maxPause, max(retryAfter, minPause<<min(n, 5)))
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *receiver) once(ctx context.Context, c call, entry int, text *answerText, res *result) attempt {
	start := time.Now()
	resp, err := r.sender.send(ctx, c, entry, text.tokens)
	if err != nil {
		return attempt{err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	switch {
	case r.s.Protocol == ProtocolEngine:
		return readLines(resp.Body, text, start, res)
	case c.Route != "":
		return readService(resp.Body, c, text, res)
	}
	res.returnToken = resp.Header.Get("Return-Token")
	return readEvents(resp.Body, text, start, res)
}

func readRefusal(resp *http.Response) attempt {
	var p struct{ Type, Outcome string }
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxLine))
	if json.Unmarshal(data, &p) != nil || p.Outcome == "" {
		return attempt{err: eris.Errorf("load: status %d without an outcome", resp.StatusCode)}
	}
	a := attempt{refusal: &refusal{Reason: p.Type[strings.LastIndex(p.Type, ":")+1:], Outcome: p.Outcome}}
	a.final = resp.StatusCode < 500 && resp.StatusCode != http.StatusConflict && resp.StatusCode != http.StatusTooManyRequests
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		a.retryAfter = time.Duration(s) * time.Second
	}
	return a
}

// token checks one token and notes its time.
func (t *answerText) token(index int, got string, start time.Time, res *result) {
	now := time.Now()
	switch want := standin.Token(t.call.hashKey(), t.call.Body, t.tokens); {
	case index != t.tokens:
		t.wrong = fmt.Sprintf("token %d came in place of token %d", index, t.tokens)
		return
	case got != want:
		t.wrong = fmt.Sprintf("token %d is %q, not %q", index, got, want)
		return
	}
	if t.tokens == 0 {
		res.first = now.Sub(start)
	} else {
		t.gaps = append(t.gaps, now.Sub(t.at))
	}
	t.at = now
	t.tokens++
	t.text.WriteString(got)
}

// end checks the length of an answer that ended.
func (t *answerText) end() {
	if t.tokens != t.call.Tokens {
		t.wrong = fmt.Sprintf("answer ended after %d of %d tokens", t.tokens, t.call.Tokens)
	}
}

// readEvents reads server-sent events.
func readEvents(body io.Reader, text *answerText, start time.Time, res *result) attempt {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, 4096), maxLine)
	id, event := 0, ""
	for s.Scan() {
		name, value, _ := strings.Cut(s.Text(), ": ")
		switch name {
		case "":
			event = ""
		case "id":
			id, _ = strconv.Atoi(value)
		case "event":
			event = value
		case "data":
			if value == "[DONE]" {
				text.end()
				return attempt{done: true}
			}
			if event == "error" {
				return attempt{err: eris.Errorf("load: answer was cut: %s", value), refusal: problemRefusal(value)}
			}
			if err := readChunk(value, id, text, start, res); err != nil {
				return attempt{err: err}
			}
		}
		if text.wrong != "" {
			return attempt{}
		}
	}
	return attempt{err: eris.Errorf("load: answer ended without [DONE]: %v", s.Err())}
}

func problemRefusal(data string) *refusal {
	var p struct{ Type, Outcome string }
	if json.Unmarshal([]byte(data), &p) != nil {
		return nil
	}
	return &refusal{Reason: p.Type[strings.LastIndex(p.Type, ":")+1:], Outcome: p.Outcome}
}

func readChunk(data string, id int, text *answerText, start time.Time, res *result) error {
	var chunk struct {
		Choices []struct {
			Delta        struct{ Content string }
			FinishReason string `json:"finish_reason"`
		}
		Usage *struct {
			Cached int64 `json:"cached_tokens"`
		}
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 {
		return eris.Errorf("load: chunk is malformed: %.80s", data)
	}
	if chunk.Usage != nil {
		res.cached = chunk.Usage.Cached
	}
	if chunk.Choices[0].FinishReason == "" {
		text.token(id, chunk.Choices[0].Delta.Content, start, res)
	}
	return nil
}

// readLines reads the answer of an engine stand-in.
func readLines(body io.Reader, text *answerText, start time.Time, res *result) attempt {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, 4096), maxLine)
	var head endpointapi.GenerateHead
	if !s.Scan() || json.Unmarshal(s.Bytes(), &head) != nil {
		return attempt{err: eris.New("load: head is malformed")}
	}
	res.cached = head.Cached
	for s.Scan() {
		var line endpointapi.GenerateLine
		if err := json.Unmarshal(s.Bytes(), &line); err != nil || line.Error != "" {
			return attempt{err: eris.Errorf("load: line is malformed or an error: %.80s", s.Text())}
		}
		if line.Done {
			text.end()
			return attempt{done: true}
		}
		if text.token(text.tokens, line.Token, start, res); text.wrong != "" {
			return attempt{}
		}
	}
	return attempt{err: eris.Errorf("load: answer ended early: %v", s.Err())}
}

// readService reads the answer of a plain service.
func readService(body io.Reader, c call, text *answerText, res *result) attempt {
	data, err := io.ReadAll(io.LimitReader(body, maxBody))
	if err != nil {
		return attempt{err: err}
	}
	var out standin.RunResult
	if err := json.Unmarshal(data, &out); err != nil {
		text.wrong = fmt.Sprintf("answer of the service is malformed: %.80s", data)
		return attempt{}
	}
	_, route, _ := strings.Cut(c.Route, "/")
	if out.Route != route || out.Key != c.Key || string(out.Result) != string(c.Body) {
		text.wrong = fmt.Sprintf("answer belongs to another call: %.120s", data)
	}
	res.run = out.Run
	return attempt{done: true}
}
