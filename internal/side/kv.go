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

// KVStore moves the cached prefixes of chats in and out of an engine.
type KVStore interface {
	ExportKV(ctx context.Context, chat string) (endpointapi.KV, error)
	ImportKV(ctx context.Context, kv endpointapi.KV) error
}

// Limits of the moves.
const (
	// movesPerSecond bounds the copies of one endpoint. A chat of 5,000 tokens
	// has about 0.5 GB of keys and values, so 10 a second are 5 GB/s.
	movesPerSecond = 10
	// fetchTimeout bounds the wait for a copy. A prefill of 5,000 tokens takes
	// about as long, so a slower copy is of no use.
	fetchTimeout = 250 * time.Millisecond
	// moveTimeout bounds one copy before this endpoint leaves.
	moveTimeout = 2 * time.Second
	// maxKVBody bounds the encoded prefix of one chat.
	maxKVBody = 16 << 20
)

// kvMover copies caches between this endpoint and others. Its limiters are safe
// for use by all traffic goroutines.
type kvMover struct {
	store   KVStore
	wait    time.Duration // for a copy before a request runs
	client  *http.Client
	imports *rate.Limiter
	exports *rate.Limiter
	moves   chan []kvMove // from the stage that plans them
}

// kvMove is the copy of one chat to the endpoint that gets it next.
type kvMove struct {
	chat    string
	address string
}

func newKVMover(store KVStore, wait time.Duration) *kvMover {
	return &kvMover{
		store: store, wait: cmp.Or(wait, fetchTimeout), client: &http.Client{},
		imports: rate.NewLimiter(movesPerSecond, movesPerSecond),
		exports: rate.NewLimiter(movesPerSecond, movesPerSecond),
		moves:   make(chan []kvMove, 1),
	}
}

// fetchKV copies the cache of a chat from the endpoint that holds it before the
// request runs here. The request runs with or without the copy.
type fetchKV struct {
	kv  *kvMover
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
	ctx, cancel := context.WithTimeout(ctx, f.kv.wait)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, kvURL(req.KVSource)+url.PathEscape(req.HashKey()), nil)
	if err != nil {
		return eris.Wrap(err, "side: copy cannot be made")
	}
	call.Header.Set(wire.HeaderKey, f.key)
	resp, err := f.kv.client.Do(call)
	if err != nil {
		return eris.Wrap(err, "side: copy")
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

// exportKV answers another side process that takes over a chat.
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

// importKV takes the cache of a chat from an endpoint that leaves.
func (p *Side) importKV(w http.ResponseWriter, r *http.Request) {
	if p.kv.store == nil || !p.kv.imports.Allow() {
		http.Error(w, "no copies now", http.StatusServiceUnavailable)
		return
	}
	var kv endpointapi.KV
	if err := json.NewDecoder(io.LimitReader(r.Body, maxKVBody)).Decode(&kv); err != nil {
		http.Error(w, "the copy is malformed", http.StatusBadRequest)
		return
	}
	kv.Chat = r.PathValue("chat")
	if err := p.kv.store.ImportKV(r.Context(), kv); err != nil {
		http.Error(w, "the endpoint takes no copy", http.StatusBadGateway)
	}
}

// moveChats carries out planned moves until ctx ends.
func (p *Side) moveChats(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case moves := <-p.kv.moves:
			p.log.Info("warm chats are copied before the endpoint leaves", "chats", len(moves))
			for _, m := range moves {
				if p.kv.exports.Wait(ctx) != nil {
					return
				}
				result := "copied"
				if err := p.move(ctx, m); err != nil {
					result = "failed"
				}
				metrics.GetOrCreateCounter(`goldcrest_side_kv_moves_total{result="` + result + `"}`).Inc()
			}
		}
	}
}

func (p *Side) move(ctx context.Context, m kvMove) error {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	kv, err := p.kv.store.ExportKV(ctx, m.chat)
	if err != nil {
		return err
	}
	kv.Chat = m.chat
	return endpointapi.PutKV(ctx, p.kv.client, kvURL(m.address), http.Header{wire.HeaderKey: {p.settings.Key}}, kv)
}
