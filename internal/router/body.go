package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/memory"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
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

// incomingBody is the body of a request that has not been read. length is that which the
// caller has announced, and negative if it has not.
type incomingBody struct {
	io.Reader
	length int64
}

// receiveBody reads the body of a request. The filters before it need only the head, so a
// request that they refuse does not wait for its body, and its body holds no memory.
type receiveBody struct {
	limit  func() int64   // bytes
	random func() float64 // uniform in [0, 1)
}

func (receiveBody) Name() string { return "receive" }

func (f receiveBody) Handle(ctx context.Context, req *Request, next handler) (*Answer, error) {
	var err error
	req.Body, err = memory.ReadAll(req.incoming, req.incoming.length, f.limit(), req.memory, errBodyTooLong)
	switch {
	case errors.Is(err, errBodyTooLong):
		return nil, model.Refuse(model.ReasonLimit, err.Error())
	case errors.Is(err, memory.ErrExhausted):
		memoryRefusals[heldByBody].Inc()
		// Callers that were refused together do not come back together.
		wait := memoryRetryAfter + time.Duration(f.random()*float64(memoryRetryAfter))
		return nil, refuseWithRetryAfter(model.ReasonMemory, err.Error(), wait)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, model.Refuse(model.ReasonDeadline, "the body arrives too slowly")
	case err != nil:
		return nil, model.Refuse(model.ReasonBadRequest, "the body cannot be read")
	}
	req.incoming.Reader = nil
	return next(ctx, req)
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
