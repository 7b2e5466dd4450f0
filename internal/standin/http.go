package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// maxFaultsBytes bounds the body of PUT /faults.
const maxFaultsBytes = 64 << 10

// respond writes v as JSON, or err with status 429 or 503.
func respond(w http.ResponseWriter, v any, err error) {
	if err != nil {
		status := http.StatusServiceUnavailable
		if errors.Is(err, ErrRate) {
			status = http.StatusTooManyRequests
		}
		http.Error(w, err.Error(), status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// serveFaults adds GET and PUT /faults. Unknown fields are refused, so that a
// misspelt fault does not pass for one that is switched on.
func serveFaults[F any](mux *http.ServeMux, get func() F, set func(context.Context, F) error) {
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { respond(w, get(), nil) })
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f F
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		err := set(r.Context(), f)
		respond(w, get(), err)
	})
}

// delay waits for ms milliseconds or until ctx ends.
func delay(ctx context.Context, ms int64) error {
	if ms <= 0 {
		return nil
	}
	return pause(ctx, time.Duration(ms)*time.Millisecond)
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "standin: wait ended")
	}
}
