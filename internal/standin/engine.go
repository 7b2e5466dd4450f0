package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Engine is a fake of a model engine. The tokens of an answer depend only on
// the request, so that a resumed answer can be checked against a whole one.
type Engine struct {
	version   model.Version
	tokenTime time.Duration
}

// NewEngine returns an engine that runs version and takes tokenTime a token.
func NewEngine(version model.Version, tokenTime time.Duration) *Engine {
	return &Engine{version: version, tokenTime: tokenTime}
}

// Token returns token i of the answer to a request.
func Token(chat string, body []byte, i int) string {
	h := xxhash.Sum64String(chat + "\x00" + string(body) + "\x00" + fmt.Sprint(i))
	return fmt.Sprintf("t%d-%04x ", i, h&0xffff)
}

// Handler serves the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", e.generate)
	return mux
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var req endpointapi.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	enc, rc := json.NewEncoder(w), http.NewResponseController(w)
	_ = enc.Encode(endpointapi.GenerateHead{Version: e.version})
	for i := req.From; i < int(req.MaxTokens); i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.tokenTime):
		}
		if enc.Encode(endpointapi.GenerateLine{Token: Token(req.Chat, req.Body, i)}) != nil || rc.Flush() != nil {
			return
		}
	}
	_ = enc.Encode(endpointapi.GenerateLine{Done: true})
}
