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

// Limits on the size of an answer.
const (
	maxLineBytes = 1 << 20
	maxBodyBytes = 4 << 20
)

// Backoff between the attempts of a call. A longer Retry-After is honoured only
// up to maxBackoff, so that a run ends in time.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// receiver runs the attempts of a call and checks the answer.
type receiver struct {
	settings Settings
	sender   *sender
}

// attemptResult describes how an attempt ended.
type attemptResult struct {
	done       bool // the answer was read to its end
	refusal    *refusal
	retryAfter time.Duration
	final      bool // the refusal must not be retried
	err        error
}

// handle sends c, retrying and resuming as far as the attempts allow. It returns
// the result and the text of the answer.
func (r *receiver) handle(ctx context.Context, c call) (result, string) {
	res := result{call: c, verdict: verdictFailed}
	checker := &answerChecker{call: c}
	start := time.Now()
	for n := 0; n < r.settings.Chats.Attempts; n++ {
		if n > 0 && !backOff(ctx, n, checker.lastAttempt.retryAfter) {
			break
		}
		res.attempts++
		if checker.tokens > 0 {
			res.resumed++
		}
		checker.lastAttempt = r.runAttempt(ctx, c, c.Entry+n, checker, &res)
		if checker.lastAttempt.refusal != nil {
			res.refusals = append(res.refusals, *checker.lastAttempt.refusal)
		}
		if checker.lastAttempt.done || checker.lastAttempt.final || checker.mismatch != "" {
			break
		}
	}
	res.total = time.Since(start)
	res.tokenGaps = checker.tokenGaps
	switch {
	case checker.mismatch != "":
		res.verdict, res.detail = verdictWrong, checker.mismatch
	case checker.lastAttempt.done:
		res.verdict = verdictComplete
	case checker.tokens > 0:
		res.verdict, res.detail = verdictInterrupted, fmt.Sprint(checker.lastAttempt.err)
	case checker.lastAttempt.refusal != nil:
		res.verdict = verdictRefused
	default:
		res.detail = fmt.Sprint(checker.lastAttempt.err)
	}
	return res, checker.answer.String()
}

// answerChecker collects the tokens of an answer over all attempts of a call and
// compares each one with the token that the engine stand-in must generate.
type answerChecker struct {
	call        call
	tokens      int
	answer      strings.Builder
	mismatch    string
	lastTokenAt time.Time
	tokenGaps   []time.Duration
	lastAttempt attemptResult
}

// backOff waits before attempt n and reports whether the wait completed before
// ctx was done.
func backOff(ctx context.Context, n int, retryAfter time.Duration) bool {
	d := min(maxBackoff, max(retryAfter, minBackoff<<min(n, 5)))
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runAttempt makes one attempt. It resumes after the tokens that checker already
// has.
func (r *receiver) runAttempt(ctx context.Context, c call, entry int, checker *answerChecker, res *result) attemptResult {
	start := time.Now()
	resp, err := r.sender.send(ctx, c, entry, checker.tokens)
	if err != nil {
		return attemptResult{err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	switch {
	case r.settings.Protocol == ProtocolEngine:
		return readEngineLines(resp.Body, checker, start, res)
	case c.Route != "":
		return readService(resp.Body, c, checker, res)
	}
	res.returnToken = resp.Header.Get("Return-Token")
	return readEvents(resp.Body, checker, start, res)
}

// readRefusal reads the answer to a request that was refused.
func readRefusal(resp *http.Response) attemptResult {
	var p struct{ Type, Outcome string }
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxLineBytes))
	if json.Unmarshal(data, &p) != nil || p.Outcome == "" {
		return attemptResult{err: eris.Errorf("load: status %d without an outcome", resp.StatusCode)}
	}
	a := attemptResult{refusal: &refusal{Reason: p.Type[strings.LastIndex(p.Type, ":")+1:], Outcome: p.Outcome}}
	a.final = resp.StatusCode < 500 && resp.StatusCode != http.StatusConflict && resp.StatusCode != http.StatusTooManyRequests
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		a.retryAfter = time.Duration(s) * time.Second
	}
	return a
}

// checkToken compares a token with the expected one and records its time.
func (t *answerChecker) checkToken(index int, got string, start time.Time, res *result) {
	now := time.Now()
	switch want := standin.Token(t.call.cacheKey(), t.call.Body, t.tokens); {
	case index != t.tokens:
		t.mismatch = fmt.Sprintf("received token %d, expected token %d", index, t.tokens)
		return
	case got != want:
		t.mismatch = fmt.Sprintf("token %d is %q, not %q", index, got, want)
		return
	}
	if t.tokens == 0 {
		res.firstToken = now.Sub(start)
	} else {
		t.tokenGaps = append(t.tokenGaps, now.Sub(t.lastTokenAt))
	}
	t.lastTokenAt = now
	t.tokens++
	t.answer.WriteString(got)
}

// checkLength checks the number of tokens of an answer that ended.
func (t *answerChecker) checkLength() {
	if t.tokens != t.call.Tokens {
		t.mismatch = fmt.Sprintf("answer ended after %d of %d tokens", t.tokens, t.call.Tokens)
	}
}

// readEvents reads an answer of server-sent events.
func readEvents(body io.Reader, checker *answerChecker, start time.Time, res *result) attemptResult {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	id, event := 0, ""
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), ": ")
		switch name {
		case "":
			event = ""
		case "id":
			id, _ = strconv.Atoi(value)
		case "event":
			event = value
		case "data":
			if value == "[DONE]" {
				checker.checkLength()
				return attemptResult{done: true}
			}
			if event == "error" {
				return attemptResult{err: eris.Errorf("load: answer was interrupted: %s", value), refusal: problemRefusal(value)}
			}
			if err := readChunk(value, id, checker, start, res); err != nil {
				return attemptResult{err: err}
			}
		}
		if checker.mismatch != "" {
			return attemptResult{}
		}
	}
	return attemptResult{err: eris.Errorf("load: answer ended without [DONE]: %v", scanner.Err())}
}

// problemRefusal returns the refusal of a problem document.
func problemRefusal(data string) *refusal {
	var p struct{ Type, Outcome string }
	if json.Unmarshal([]byte(data), &p) != nil {
		return nil
	}
	return &refusal{Reason: p.Type[strings.LastIndex(p.Type, ":")+1:], Outcome: p.Outcome}
}

// readChunk reads the data of one event and checks its token, if it has one.
func readChunk(data string, id int, checker *answerChecker, start time.Time, res *result) error {
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
		res.cachedTokens = chunk.Usage.Cached
	}
	if chunk.Choices[0].FinishReason == "" {
		checker.checkToken(id, chunk.Choices[0].Delta.Content, start, res)
	}
	return nil
}

// readEngineLines reads the answer of an engine stand-in, one JSON object a line.
func readEngineLines(body io.Reader, checker *answerChecker, start time.Time, res *result) attemptResult {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	var head endpointapi.GenerateHead
	if !scanner.Scan() || json.Unmarshal(scanner.Bytes(), &head) != nil {
		return attemptResult{err: eris.New("load: head of the engine's answer is malformed")}
	}
	res.cachedTokens = head.Cached
	for scanner.Scan() {
		var line endpointapi.GenerateLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil || line.Error != "" {
			return attemptResult{err: eris.Errorf("load: line of the engine's answer is malformed or an error: %.80s", scanner.Text())}
		}
		if line.Done {
			checker.checkLength()
			return attemptResult{done: true}
		}
		if checker.checkToken(checker.tokens, line.Token, start, res); checker.mismatch != "" {
			return attemptResult{}
		}
	}
	return attemptResult{err: eris.Errorf("load: answer ended without its last line: %v", scanner.Err())}
}

// readService reads the answer of a plain service.
func readService(body io.Reader, c call, checker *answerChecker, res *result) attemptResult {
	data, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		return attemptResult{err: err}
	}
	var out standin.RunResult
	if err := json.Unmarshal(data, &out); err != nil {
		checker.mismatch = fmt.Sprintf("answer of the service is malformed: %.80s", data)
		return attemptResult{}
	}
	_, route, _ := strings.Cut(c.Route, "/")
	if out.Route != route || out.Key != c.Key || string(out.Result) != string(c.Body) {
		checker.mismatch = fmt.Sprintf("answer belongs to another call: %.120s", data)
	}
	res.run = out.Run
	return attemptResult{done: true}
}
