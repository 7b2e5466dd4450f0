package entry

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// internalHeaders is the start of the header names that the fleet's processes
// use among themselves.
const internalHeaders = "Goldcrest-"

// protect removes internal header names from callers' requests and bounds the
// time for which one slow caller holds a connection: bodyTime for the whole
// body, writeTime for each piece of the answer. A time of 0 sets no bound.
func protect(next http.Handler, bodyTime, writeTime time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for name := range r.Header {
			if strings.HasPrefix(name, internalHeaders) {
				delete(r.Header, name)
			}
		}
		rc := http.NewResponseController(w)
		if bodyTime > 0 && rc.SetReadDeadline(time.Now().Add(bodyTime)) == nil {
			r.Body = &timedBody{ReadCloser: r.Body, rc: rc}
		}
		if writeTime > 0 {
			w = &timedWriter{ResponseWriter: w, rc: rc, limit: writeTime}
		}
		next.ServeHTTP(w, r)
	})
}

// timedBody lifts the read deadline at the end of the body. A deadline that
// passes later would end the request's context.
type timedBody struct {
	io.ReadCloser
	rc *http.ResponseController
}

func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.rc.SetReadDeadline(time.Time{})
	}
	return n, err
}

// timedWriter sets a new deadline for each write and flush, so that a caller
// that stops reading is cut off and one that reads a long answer is not.
type timedWriter struct {
	http.ResponseWriter
	rc    *http.ResponseController
	limit time.Duration
}

func (w *timedWriter) Write(p []byte) (int, error) {
	_ = w.rc.SetWriteDeadline(time.Now().Add(w.limit))
	return w.ResponseWriter.Write(p)
}

// FlushError implements the flush of http.ResponseController.
func (w *timedWriter) FlushError() error {
	_ = w.rc.SetWriteDeadline(time.Now().Add(w.limit))
	return w.rc.Flush()
}

// Unwrap gives http.ResponseController access to the connection.
func (w *timedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
