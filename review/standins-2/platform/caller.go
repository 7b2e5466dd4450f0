package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// reply is what a caller got.
type reply struct {
	status   int
	signed   bool
	body     string
	err      error // the answer is not complete, or there was none
	complete bool
	took     time.Duration
}

// send sends a request without a prompt over a new connection and reads the whole answer.
func (f *fleet) send(r *router, id, method, path string, body []byte, wait time.Duration) reply {
	return f.sendPrompt(r, id, method, path, "", body, wait)
}

// sendPrompt does the same with the parts of a prompt.
func (f *fleet) sendPrompt(r *router, id, method, path, parts string, body []byte, wait time.Duration) (out reply) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+r.callers+path, bytes.NewReader(body))
	req.Host = "app.example"
	req.Header.Set("X-Goldcrestturn-Request-Id", id)
	req.Header.Set("X-Goldcrestturn-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer key-1")
	if parts != "" {
		req.Header.Set("X-Goldcrestturn-Prefix-Hash", parts)
	}
	f.note("caller sends %s %s %s to %s", id, method, path, r.name)
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	res, err := (&http.Client{Transport: transport}).Do(req)
	defer func() {
		out.took = time.Since(begin)
		f.note("caller got of %s: status %d, signed %v, complete %v, %d bytes, error %v", id, out.status, out.signed, out.complete, len(out.body), out.err)
	}()
	if err != nil {
		out.err = err
		return out
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, signed: res.Header.Get("X-Goldcrestturn-Server-Signature") != "", body: string(data), err: err, complete: err == nil}
}
