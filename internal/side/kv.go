package side

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
	"github.com/goldcrestturn/goldcrestturn/internal/wire"
)

// KVStore exports and imports the prefix caches of an engine's chats.
type KVStore interface {
	ExportKV(ctx context.Context, chat string) (endpointapi.KV, error)
	ImportKV(ctx context.Context, kv endpointapi.KV) error
}

// Limits on cache transfers.
const (
	// transfersPerSecond bounds the imports and the exports of one endpoint. A
	// chat of 5,000 tokens has about 0.5 GB of keys and values, so 10 per second
	// are 5 GB/s.
	transfersPerSecond = 10
	// defaultFetchTimeout bounds one fetch. A prefill of 5,000 tokens takes about
	// as long, so a slower fetch is of no use.
	defaultFetchTimeout = 250 * time.Millisecond
	// transferTimeout bounds one transfer to another endpoint before this one leaves.
	transferTimeout = 2 * time.Second
	// maxKVBytes bounds the encoded prefix cache of one chat.
	maxKVBytes = 16 << 20
)

// kvTransfers copies the caches of chats between this endpoint and others. Its
// limiters are safe for concurrent use by the traffic goroutines.
type kvTransfers struct {
	store        KVStore
	fetchTimeout time.Duration // bounds a fetch before a request runs
	client       *http.Client
	imports      *rate.Limiter
	exports      *rate.Limiter
	planned      chan []kvTransfer // from planTransfers
}

// kvTransfer is a planned transfer of the cache of one chat to the endpoint at
// address.
type kvTransfer struct {
	chat    string // cache key
	address string
}

func newKVTransfers(store KVStore, fetchTimeout time.Duration) *kvTransfers {
	return &kvTransfers{
		store: store, fetchTimeout: cmp.Or(fetchTimeout, defaultFetchTimeout), client: &http.Client{},
		imports: rate.NewLimiter(transfersPerSecond, transfersPerSecond),
		exports: rate.NewLimiter(transfersPerSecond, transfersPerSecond),
		planned: make(chan []kvTransfer, 1),
	}
}

// fetchKV fetches the cache of a chat from its cache holder before the request runs
// here. The request runs even if the fetch fails.
type fetchKV struct {
	kv  *kvTransfers
	key string
}

func (fetchKV) Name() string { return "fetch_kv" }

func (f fetchKV) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	if f.kv.store != nil && req.KVSource != "" && req.Chat != "" && f.kv.imports.Allow() {
		result := "copied"
		if err := f.fetch(ctx, req); err != nil {
			result = "failed"
		}
		metrics.GetOrCreateCounter(`goldcrest_side_kv_fetches_total{result="` + result + `"}`).Inc()
	}
	return next(ctx, req)
}

func (f fetchKV) fetch(ctx context.Context, req *model.Request) error {
	ctx, cancel := context.WithTimeout(ctx, f.kv.fetchTimeout)
	defer cancel()
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodGet, kvURL(req.KVSource)+url.PathEscape(req.HashKey()), nil)
	if err != nil {
		return eris.Wrap(err, "side: cache request cannot be made")
	}
	httpReq.Header.Set(wire.HeaderKey, f.key)
	resp, err := f.kv.client.Do(httpReq)
	if err != nil {
		return eris.Wrap(err, "side: cache fetch failed")
	}
	defer resp.Body.Close()
	kv, err := endpointapi.DecodeKV(resp)
	if err != nil {
		return err
	}
	kv.Chat = req.HashKey()
	return f.kv.store.ImportKV(ctx, kv)
}

func kvURL(address string) string { return "http://" + address + wire.PathKV }

// exportKV serves the cache of a chat to another side.
func (p *Side) exportKV(w http.ResponseWriter, r *http.Request) {
	if p.kv.store == nil || !p.kv.exports.Allow() {
		http.Error(w, "no copies now", http.StatusServiceUnavailable)
		return
	}
	kv, err := p.kv.store.ExportKV(r.Context(), r.PathValue("chat"))
	switch {
	case eris.Is(err, endpointapi.ErrNoKV):
		http.Error(w, "the chat is not cached", http.StatusNotFound)
	case err != nil:
		http.Error(w, "the endpoint gave no copy", http.StatusBadGateway)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(kv)
	}
}

// importKV receives the cache of a chat from a leaving endpoint.
func (p *Side) importKV(w http.ResponseWriter, r *http.Request) {
	if p.kv.store == nil || !p.kv.imports.Allow() {
		http.Error(w, "no copies now", http.StatusServiceUnavailable)
		return
	}
	var kv endpointapi.KV
	if err := json.NewDecoder(io.LimitReader(r.Body, maxKVBytes)).Decode(&kv); err != nil {
		http.Error(w, "the copy is malformed", http.StatusBadRequest)
		return
	}
	kv.Chat = r.PathValue("chat")
	if err := p.kv.store.ImportKV(r.Context(), kv); err != nil {
		http.Error(w, "the endpoint takes no copy", http.StatusBadGateway)
	}
}

// transferChats carries out the planned transfers until ctx ends.
func (p *Side) transferChats(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case transfers := <-p.kv.planned:
			p.log.Info("warm chats are copied before the endpoint leaves", "chats", len(transfers))
			for _, t := range transfers {
				if p.kv.exports.Wait(ctx) != nil {
					return
				}
				result := "copied"
				if err := p.transferChat(ctx, t); err != nil {
					result = "failed"
				}
				metrics.GetOrCreateCounter(`goldcrest_side_kv_moves_total{result="` + result + `"}`).Inc()
			}
		}
	}
}

func (p *Side) transferChat(ctx context.Context, t kvTransfer) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	kv, err := p.kv.store.ExportKV(ctx, t.chat)
	if err != nil {
		return err
	}
	kv.Chat = t.chat
	return endpointapi.PutKV(ctx, p.kv.client, kvURL(t.address), http.Header{wire.HeaderKey: {p.settings.Key}}, kv)
}
