package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/program"
)

// maxEngineBodyBytes limits the body of one call to an engine.
const maxEngineBodyBytes = 16 << 20

// Handler returns a handler of the engine's HTTP interface. While the engine
// process is down it aborts every connection, except for calls that read the
// stats or read and set the faults.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+endpointapi.PathGenerate, e.generate)
	mux.HandleFunc("POST "+endpointapi.PathCancel+"{id}", func(w http.ResponseWriter, r *http.Request) {
		if err := e.Cancel(r.Context(), model.RequestID(r.PathValue("id"))); err != nil {
			writeResponse(w, nil, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+endpointapi.PathLoad, func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, e.Load(), nil) })
	mux.HandleFunc("GET "+endpointapi.PathEvents, func(w http.ResponseWriter, r *http.Request) {
		since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
		wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
		events, err := e.Events(r.Context(), since, time.Duration(wait)*time.Millisecond)
		writeResponse(w, events, err)
	})
	mux.HandleFunc("GET "+endpointapi.PathKV+"{chat}", func(w http.ResponseWriter, r *http.Request) {
		kv, err := e.ExportKV(r.Context(), r.PathValue("chat"))
		writeEngineResponse(w, kv, err)
	})
	mux.HandleFunc("PUT "+endpointapi.PathKV+"{chat}", func(w http.ResponseWriter, r *http.Request) {
		var kv endpointapi.KV
		if !decodeBody(w, r, &kv) {
			return
		}
		kv.Chat = r.PathValue("chat")
		writeEngineResponse(w, struct{}{}, e.ImportKV(r.Context(), kv))
	})
	mux.HandleFunc("POST "+endpointapi.PathOrders, func(w http.ResponseWriter, r *http.Request) {
		var o endpointapi.Order
		if !decodeBody(w, r, &o) {
			return
		}
		if err := e.SendOrder(r.Context(), o); err != nil {
			writeEngineResponse(w, nil, err)
			return
		}
		w.WriteHeader(http.StatusAccepted)
	})
	mux.HandleFunc("GET "+endpointapi.PathState, func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, e.State(), nil) })

	admin := http.NewServeMux() // also answers while the engine process is down
	admin.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, e.Stats(), nil) })
	serveFaults(admin, e.Faults, e.SetFaults)
	admin.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if !e.loop.Snapshot().up {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
	return admin
}

// decodeBody decodes the JSON body of a call. On failure it answers with status
// 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEngineBodyBytes)).Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeEngineResponse writes v as JSON, or err with the status that belongs to
// it. For a crash it aborts the connection.
func writeEngineResponse(w http.ResponseWriter, v any, err error) {
	status := 0
	switch {
	case errors.Is(err, ErrCrashed):
		panic(http.ErrAbortHandler)
	case errors.Is(err, ErrFailed):
		status = http.StatusInternalServerError
	case errors.Is(err, ErrNotLoaded), errors.Is(err, ErrKVVersion), errors.Is(err, ErrCancelled):
		status = http.StatusConflict
	case errors.Is(err, ErrNoKV):
		status = http.StatusNotFound
	case errors.Is(err, endpointapi.ErrStaleFence):
		status = http.StatusPreconditionFailed
	default:
		writeResponse(w, v, err)
		return
	}
	http.Error(w, err.Error(), status)
}

// generate streams one answer: a head and then a line for each token, in JSON.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var req endpointapi.GenerateRequest
	if !decodeBody(w, r, &req) {
		return
	}
	ctx := r.Context()
	g, err := e.Generate(ctx, req)
	if err != nil {
		writeEngineResponse(w, nil, err)
		return
	}
	defer g.Close(ctx)
	enc, rc := json.NewEncoder(w), http.NewResponseController(w)
	if enc.Encode(g.Head) != nil || rc.Flush() != nil {
		return
	}
	for {
		line, err := g.Next(ctx)
		switch {
		case errors.Is(err, ErrCrashed):
			panic(http.ErrAbortHandler)
		case err != nil:
			_ = enc.Encode(endpointapi.GenerateLine{Error: err.Error()})
			return
		}
		if enc.Encode(line) != nil || line.Done || rc.Flush() != nil {
			return
		}
	}
}

// Serve serves the engine at address until ctx ends. It closes the listener while
// the engine process is down, so that connections are refused.
func (e *Engine) Serve(ctx context.Context, address string) error {
	for ctx.Err() == nil {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrap(err, "standin: address cannot be used")
		}
		if err := e.serveUntilDown(ctx, listener); err != nil {
			return err
		}
		if err := e.waitForProcess(ctx, true); err != nil && ctx.Err() == nil {
			return err
		}
	}
	return nil
}

// serveUntilDown serves the engine on listener until the engine process is down,
// the server fails or ctx ends.
func (e *Engine) serveUntilDown(ctx context.Context, listener net.Listener) error {
	serveCtx, stop := context.WithCancel(ctx)
	defer stop()
	var g errgroup.Group
	g.Go(func() error {
		defer stop()
		if err := e.waitForProcess(serveCtx, false); err != nil && serveCtx.Err() == nil {
			return err
		}
		return nil
	})
	srv := program.NewServer(e.Handler())
	g.Go(func() error {
		err := srv.Serve(listener)
		stop()
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return eris.Wrap(err, "standin: server failed")
	})
	<-serveCtx.Done()
	_ = srv.Close()
	return g.Wait()
}
