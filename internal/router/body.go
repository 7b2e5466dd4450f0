package router

import (
	"io"
	"net/http"
	"time"
)

// bodyRate is the bytes a second at which a body of the largest size arrives within its
// time: a tenth of a link of 10 Mbit/s.
const bodyRate = 125_000

// bodyTime returns the time in which the body of a request has to arrive.
func (r *Router) bodyTime() time.Duration {
	return max(readBodyTimeout, time.Duration(float64(r.maxBody())/bodyRate*float64(time.Second)))
}

// maxBody returns the largest size of the body of a request.
func (r *Router) maxBody() int64 {
	if c := r.loop.Snapshot().Catalog; c != nil && c.MaxBody > 0 {
		return c.MaxBody
	}
	return defaultMaxBodyBytes
}

// limitBodyTime bounds the time in which h reads the body of a request.
func limitBodyTime(h http.Handler, timeout func() time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Body != http.NoBody {
			req.Body = &timedBody{ReadCloser: req.Body, conn: http.NewResponseController(w), timeout: timeout()}
		}
		h.ServeHTTP(w, req)
	})
}

// timedBody is a body whose read deadline runs from the first read to the end of the
// body. net/http would take a deadline that passes later, while the request is
// served, for a caller that has disconnected.
type timedBody struct {
	io.ReadCloser
	conn    *http.ResponseController
	timeout time.Duration
	begun   bool
}

func (b *timedBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		_ = b.conn.SetReadDeadline(time.Now().Add(b.timeout))
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		_ = b.conn.SetReadDeadline(time.Time{})
	}
	return n, err
}
