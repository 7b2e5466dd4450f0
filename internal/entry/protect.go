package entry

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// internalHeaderPrefix is the prefix of the header names that the processes of the
// fleet use among themselves.
const internalHeaderPrefix = "Goldcrest-"

// protect removes internal header names from callers' requests and bounds the
// time for which a slow caller can hold a connection: bodyTimeout for the whole
// body, writeTimeout for each write of the answer. A timeout of 0 sets no bound.
func protect(next http.Handler, bodyTimeout, writeTimeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for name := range r.Header {
			if strings.HasPrefix(name, internalHeaderPrefix) {
				delete(r.Header, name)
			}
		}
		rc := http.NewResponseController(w)
		if bodyTimeout > 0 && rc.SetReadDeadline(time.Now().Add(bodyTimeout)) == nil {
			r.Body = &timedBody{ReadCloser: r.Body, rc: rc}
		}
		if writeTimeout > 0 {
			w = &timedWriter{ResponseWriter: w, rc: rc, timeout: writeTimeout}
		}
		next.ServeHTTP(w, r)
	})
}

// timedBody clears the read deadline at the end of the body. Otherwise the
// deadline would expire later and cancel the request's context.
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

// timedWriter sets a new deadline for each write and flush, so that a caller that
// stops reading is disconnected and one that keeps reading a long answer is not.
type timedWriter struct {
	http.ResponseWriter
	rc      *http.ResponseController
	timeout time.Duration
}

func (w *timedWriter) Write(p []byte) (int, error) {
	_ = w.rc.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.ResponseWriter.Write(p)
}

// FlushError implements the flush of http.ResponseController.
func (w *timedWriter) FlushError() error {
	_ = w.rc.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.rc.Flush()
}

// Unwrap gives http.ResponseController access to the connection.
func (w *timedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
