package standin

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
)

// Service is a fake of a plain service that counts every run.
type Service struct {
	runs atomic.Int64
}

// NewService returns a service without runs.
func NewService() *Service { return &Service{} }

// Runs returns the number of calls that ran.
func (s *Service) Runs() int64 { return s.runs.Load() }

// Handler serves the service's HTTP interface: any route runs.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{route}", func(w http.ResponseWriter, r *http.Request) {
		n := s.runs.Add(1)
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"route": r.PathValue("route"), "run": n})
	})
	return mux
}
