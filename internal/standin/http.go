package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// maxFaultsBytes limits the body of PUT /faults.
const maxFaultsBytes = 64 << 10

// writeResponse writes v as JSON, or err with status 429 if it is ErrRateLimited
// and 503 otherwise.
func writeResponse(w http.ResponseWriter, v any, err error) {
	if err != nil {
		status := http.StatusServiceUnavailable
		if errors.Is(err, ErrRateLimited) {
			status = http.StatusTooManyRequests
		}
		http.Error(w, err.Error(), status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// serveFaults registers GET and PUT /faults. Unknown fields are refused, so that
// a misspelt fault is not taken for an active one.
func serveFaults[F any](mux *http.ServeMux, get func() F, set func(context.Context, F) error) {
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, get(), nil) })
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f F
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		err := set(r.Context(), f)
		writeResponse(w, get(), err)
	})
}

// sleepMS sleeps for ms milliseconds or until ctx ends.
func sleepMS(ctx context.Context, ms int64) error {
	if ms <= 0 {
		return nil
	}
	return sleep(ctx, time.Duration(ms)*time.Millisecond)
}

// sleep sleeps for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "standin: wait ended")
	}
}
