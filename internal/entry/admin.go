package entry

import (
	"encoding/json"
	"net/http"

	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/program"
)

// adminHandler returns the handler of the admin address.
func (e *Entry) adminHandler() http.Handler {
	mux := program.AdminHandler(e.ready, e.status)
	mux.HandleFunc("GET "+exchange.PathSlow, func(w http.ResponseWriter, r *http.Request) {
		rows, err := e.StageTimes(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(exchange.FromRows(rows))
	})
	return mux
}
