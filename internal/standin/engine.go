package standin

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Engine is a stand-in for a model engine. It has a batch with a limited number
// of slots, a prefix cache with limited memory, cold starts and faults. The tokens
// of an answer depend only on the request, so that a resumed answer can be
// compared with an uninterrupted one.
type Engine struct {
	cfg     EngineConfig
	loop    *control.Loop[engineState, engineSnapshot]
	fetches chan weightFetch // queue of loads from the weight store
}

// EngineConfig describes an engine. A zero value disables a property.
type EngineConfig struct {
	Version       model.Version
	TokenTime     time.Duration // between two tokens of an answer that is alone in the batch
	PrefillTime   time.Duration // per prompt token that is not in the prefix cache
	Slots         int           // maximum batch size; 0 means no limit
	BatchSlowdown float64       // increase of TokenTime when every slot is in use, as a share of it
	CacheTokens   int64         // size of the prefix cache in tokens
	StartCold     bool
	ColdTime      time.Duration // added to the first token of a cold engine
	ColdLimit     int64         // cost units without a first token up to which a cold engine adds only ColdTime; 0 means no limit
	WarmAfter     int           // number of first tokens after which a cold engine is warm; 0 means defaultWarmAfter
	LoadLag       time.Duration // age of the load report
	EventLag      time.Duration // time before a cache event becomes visible
	EventGap      int64         // every EventGap-th cache event is lost; 0 loses none
	IgnoresFence  bool          // accepts orders with a stale fence
	Weights       Weights       // source of versions and adapters; nil loads immediately
	Seed          uint64        // seeds the choice of requests that a version fails
}

// defaultWarmAfter is the number of first tokens after which an engine is warm.
const defaultWarmAfter = 8

// Weights is a source of versions and adapters.
type Weights interface {
	// Fetch loads an item and returns when it is loaded.
	Fetch(ctx context.Context, item string) error
}

// Errors returned by an engine. Their texts are part of its HTTP answers.
var (
	ErrCrashed        = eris.New("standin: engine process has crashed")
	ErrFailed         = eris.New("standin: version failed the request")
	ErrNotLoaded      = eris.New("standin: version is not loaded")
	ErrCancelled      = eris.New("standin: request was cancelled")
	ErrNoKV           = eris.New("standin: chat is not in the prefix cache")
	ErrKVVersion      = eris.New("standin: prefix belongs to another version")
	errFetchQueueFull = eris.New("standin: too many loads are queued")
)

// NewEngine returns an engine without limits that runs version and takes
// tokenTime per token. It answers only while Run is running.
func NewEngine(version model.Version, tokenTime time.Duration) *Engine {
	return NewEngineWith(EngineConfig{Version: version, TokenTime: tokenTime, CacheTokens: 1 << 20})
}

// maxQueuedFetches limits the number of loads that wait for the weight store.
const maxQueuedFetches = 64

// engineTick is the resolution of restarts, delayed load reports and delayed
// cache events.
const engineTick = 100 * time.Millisecond

// NewEngineWith returns an engine with the properties in cfg.
func NewEngineWith(cfg EngineConfig) *Engine {
	if cfg.WarmAfter == 0 {
		cfg.WarmAfter = defaultWarmAfter
	}
	e := &Engine{cfg: cfg, fetches: make(chan weightFetch, maxQueuedFetches)}
	e.loop = control.New(control.Config[engineState, engineSnapshot]{
		State: newEngineState(cfg, time.Now()),
		Stages: []control.Stage[engineState]{
			engineFaultStage{}, engineProcess{}, engineBatch{}, engineCache{}, engineOrders{fetches: e.fetches}, engineReports{},
		},
		Publish: publishEngine,
		Tick:    engineTick,
	})
	return e
}

// Run runs the engine until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	var g errgroup.Group
	g.Go(func() error { e.loop.Run(ctx); return nil })
	g.Go(func() error { e.fetchWeights(ctx); return nil })
	_ = g.Wait()
}

// Token returns token i of the answer to a request. It depends only on the chat,
// the body and i.
func Token(chat string, body []byte, i int) string {
	hash := xxhash.New()
	_, _ = hash.WriteString(chat)
	_, _ = hash.WriteString("\x00")
	_, _ = hash.Write(body)
	_, _ = hash.WriteString("\x00" + strconv.Itoa(i))
	return fmt.Sprintf("t%d-%04x ", i, hash.Sum64()&0xffff)
}

// Generation is one answer in progress. It is not safe for concurrent use.
type Generation struct {
	Head   endpointapi.GenerateHead
	engine *Engine
	req    endpointapi.GenerateRequest
	slot   slotGrant
	next   int
	closed bool
}

// slotGrant is the control loop's reply to a request: a slot, or the error that
// ended the wait for one.
type slotGrant struct {
	request        *engineRequest
	version        model.Version
	cached         int64
	firstTokenTime time.Duration // time to the first token
	err            error
}

// Generate queues req and returns when it has a slot.
func (e *Engine) Generate(ctx context.Context, req endpointapi.GenerateRequest) (*Generation, error) {
	ev := generate{Deferred: control.NewDeferred[slotGrant](), request: &engineRequest{req: req, stop: make(chan struct{})}}
	grant, err := control.Ask(ctx, e.loop, ev)
	if err != nil {
		_ = e.loop.Post(context.WithoutCancel(ctx), finished{request: ev.request})
		return nil, err
	}
	if grant.err != nil {
		return nil, grant.err
	}
	return &Generation{
		Head:   endpointapi.GenerateHead{Version: grant.version, Cached: grant.cached},
		engine: e, req: req, slot: grant, next: req.ResumeFrom,
	}, nil
}

// Next returns the next line of the answer. It must not be called again after a
// line with Done set.
func (g *Generation) Next(ctx context.Context) (endpointapi.GenerateLine, error) {
	if g.next >= int(g.req.MaxTokens) {
		return endpointapi.GenerateLine{Done: true}, nil
	}
	delay := g.engine.loop.Snapshot().tokenTime(g.slot.version, g.req.Route)
	if g.next == g.req.ResumeFrom {
		delay = g.slot.firstTokenTime
	}
	if err := g.wait(ctx, delay); err != nil {
		return endpointapi.GenerateLine{}, err
	}
	if g.next == g.req.ResumeFrom {
		if err := g.engine.loop.Post(ctx, firstToken{request: g.slot.request}); err != nil {
			return endpointapi.GenerateLine{}, err
		}
	}
	g.next++
	return endpointapi.GenerateLine{Token: Token(g.req.Chat, g.req.Body, g.next-1)}, nil
}

// wait waits for d. It returns early with an error when the engine ends the
// request or ctx ends.
func (g *Generation) wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		select {
		case <-g.slot.request.stop:
			return g.slot.request.cause
		default:
			return ctx.Err()
		}
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-g.slot.request.stop:
		return g.slot.request.cause
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "standin: receiver left")
	}
}

// Close releases the slot.
func (g *Generation) Close(ctx context.Context) {
	if !g.closed {
		g.closed = true
		_ = g.engine.loop.Post(context.WithoutCancel(ctx), finished{request: g.slot.request, generated: int64(g.next)})
	}
}

// Faults returns the active faults.
func (e *Engine) Faults() EngineFaults { return e.loop.Snapshot().faults }

// SetFaults replaces the active faults.
func (e *Engine) SetFaults(ctx context.Context, f EngineFaults) error {
	_, err := control.Ask(ctx, e.loop, setEngineFaults{Question: control.NewQuestion[bool](), faults: f})
	return err
}

// Stats returns the engine's counters.
func (e *Engine) Stats() EngineStats { return e.loop.Snapshot().stats }

// Cancel ends the request with the given id if it is running or queued.
func (e *Engine) Cancel(ctx context.Context, id model.RequestID) error {
	_, err := control.Ask(ctx, e.loop, cancelRequest{Question: control.NewQuestion[bool](), id: id})
	return err
}

// Crash crashes the engine process, as a request with the crash marker does.
func (e *Engine) Crash(ctx context.Context) error {
	_, err := control.Ask(ctx, e.loop, crash{control.NewQuestion[bool]()})
	return err
}

// waitForProcess waits until the engine process is up or, if up is false, down.
func (e *Engine) waitForProcess(ctx context.Context, up bool) error {
	_, err := control.Ask(ctx, e.loop, processWait{Deferred: control.NewDeferred[bool](), up: up})
	return err
}

// Load returns the load report of LoadLag ago.
func (e *Engine) Load() endpointapi.Load { return e.loop.Snapshot().load }

// Events returns the cache events after sequence number since and waits up to
// wait for the first one.
func (e *Engine) Events(ctx context.Context, since int64, wait time.Duration) (endpointapi.CacheEvents, error) {
	return control.Ask(ctx, e.loop, readEvents{Deferred: control.NewDeferred[endpointapi.CacheEvents](), since: since, until: time.Now().Add(wait)})
}

// ExportKV returns the cached prefix of a chat. It returns ErrNoKV if there is
// none.
func (e *Engine) ExportKV(ctx context.Context, chat string) (endpointapi.KV, error) {
	r, err := control.Ask(ctx, e.loop, exportKV{Question: control.NewQuestion[kvResult](), chat: chat})
	if err != nil {
		return endpointapi.KV{}, err
	}
	return r.kv, r.err
}

// ImportKV stores the prefix of a chat in the cache. It returns ErrKVVersion if
// the version that computed the prefix is not loaded.
func (e *Engine) ImportKV(ctx context.Context, kv endpointapi.KV) error {
	r, err := control.Ask(ctx, e.loop, importKV{Question: control.NewQuestion[kvResult](), kv: kv})
	if err != nil {
		return err
	}
	return r.err
}

// SendOrder executes an order. It returns endpointapi.ErrStaleFence if the fence
// of the order is stale and the engine checks fences.
func (e *Engine) SendOrder(ctx context.Context, o endpointapi.Order) error {
	r, err := control.Ask(ctx, e.loop, submitOrder{Question: control.NewQuestion[orderResult](), order: o})
	if err != nil {
		return err
	}
	return r.err
}

// State returns the versions and adapters that are loaded, the role and the fence.
func (e *Engine) State() endpointapi.EngineState { return e.loop.Snapshot().state }
