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

// Engine is a fake of a model engine: a batch with bounded slots, a prefix
// cache with limited memory, cold starts and faults. The tokens of an answer
// depend only on the request, so that a resumed answer can be checked against
// a whole one.
type Engine struct {
	cfg     EngineConfig
	loop    *control.Loop[engineState, engineSnapshot]
	fetches chan fetch // loads for the weight store
}

// EngineConfig describes an engine. Zero values switch a property off.
type EngineConfig struct {
	Version       model.Version
	TokenTime     time.Duration // between two tokens of an answer that runs alone
	PrefillTime   time.Duration // for each prompt token that is not in the prefix cache
	Slots         int           // largest batch; 0 means no bound
	BatchSlowdown float64       // added share of TokenTime when every slot is in use
	CacheTokens   int64         // size of the prefix cache in tokens
	StartCold     bool
	ColdTime      time.Duration // added to the first token of a cold engine
	ColdBears     int64         // cost units without first token that a cold engine bears; 0 means no bound
	WarmAfter     int           // first tokens after which a cold engine is warm; 0 means defaultWarmAfter
	LoadLag       time.Duration // age of the load report
	EventLag      time.Duration // age of the newest cache event that is shown
	EventGap      int64         // every so many cache events one is lost; 0 loses none
	IgnoresFence  bool          // takes orders with an old fence
	Weights       Weights       // source of versions and adapters; nil loads at once
	Seed          uint64        // decides which requests a version fails
}

// defaultWarmAfter is the number of first tokens that warm an engine up.
const defaultWarmAfter = 8

// Weights is a source of versions and adapters.
type Weights interface {
	// Fetch returns once the item is loaded.
	Fetch(ctx context.Context, item string) error
}

// Errors of an engine.
var (
	ErrCrashed    = eris.New("standin: engine process has crashed")
	ErrFailed     = eris.New("standin: version failed the request")
	ErrNotLoaded  = eris.New("standin: version is not loaded")
	ErrCancelled  = eris.New("standin: request was cancelled")
	ErrNoKV       = eris.New("standin: chat is not in the prefix cache")
	ErrOtherKV    = eris.New("standin: prefix belongs to another version")
	errLoadsQueue = eris.New("standin: too many loads are queued")
)

// NewEngine returns an engine without bounds that runs version and takes
// tokenTime a token. Run must run for it to answer.
func NewEngine(version model.Version, tokenTime time.Duration) *Engine {
	return NewEngineWith(EngineConfig{Version: version, TokenTime: tokenTime, CacheTokens: 1 << 20})
}

// maxQueuedLoads bounds the orders that wait for the weight store.
const maxQueuedLoads = 64

// engineTick is the grain of restarts, lagging reports and late events.
const engineTick = 100 * time.Millisecond

// NewEngineWith returns an engine as cfg describes it.
func NewEngineWith(cfg EngineConfig) *Engine {
	if cfg.WarmAfter == 0 {
		cfg.WarmAfter = defaultWarmAfter
	}
	e := &Engine{cfg: cfg, fetches: make(chan fetch, maxQueuedLoads)}
	e.loop = control.New(control.Config[engineState, engineSnapshot]{
		State: newEngineState(cfg, time.Now()),
		Stages: []control.Stage[engineState]{
			engineFaults{}, engineProcess{}, engineBatch{}, engineCache{}, engineOrders{fetches: e.fetches}, engineReports{},
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

// Token returns token i of the answer to a request.
func Token(chat string, body []byte, i int) string {
	d := xxhash.New()
	_, _ = d.WriteString(chat)
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(body)
	_, _ = d.WriteString("\x00" + strconv.Itoa(i))
	return fmt.Sprintf("t%d-%04x ", i, d.Sum64()&0xffff)
}

// Generation is one answer in progress. Its methods belong to one goroutine.
type Generation struct {
	Head   endpointapi.GenerateHead
	engine *Engine
	req    endpointapi.GenerateRequest
	slot   slot
	next   int
	closed bool
}

// slot is what the control loop grants to a generation.
type slot struct {
	run     *running
	version model.Version
	cached  int64
	first   time.Duration // until the first token
	err     error
}

// Generate queues req and returns once it has a slot.
func (e *Engine) Generate(ctx context.Context, req endpointapi.GenerateRequest) (*Generation, error) {
	ev := generate{Deferred: control.NewDeferred[slot](), run: &running{req: req, stop: make(chan struct{})}}
	s, err := control.Ask(ctx, e.loop, ev)
	if err != nil {
		_ = e.loop.Post(context.WithoutCancel(ctx), finished{run: ev.run})
		return nil, err
	}
	if s.err != nil {
		return nil, s.err
	}
	return &Generation{
		Head:   endpointapi.GenerateHead{Version: s.version, Cached: s.cached},
		engine: e, req: req, slot: s, next: req.ResumeFrom,
	}, nil
}

// Next returns the next line of the answer. After the line that is done it
// must not be called again.
func (g *Generation) Next(ctx context.Context) (endpointapi.GenerateLine, error) {
	if g.next >= int(g.req.MaxTokens) {
		return endpointapi.GenerateLine{Done: true}, nil
	}
	wait := g.engine.loop.Snapshot().tokenTime(g.slot.version, g.req.Route)
	if g.next == g.req.ResumeFrom {
		wait = g.slot.first
	}
	if err := g.wait(ctx, wait); err != nil {
		return endpointapi.GenerateLine{}, err
	}
	if g.next == g.req.ResumeFrom {
		if err := g.engine.loop.Post(ctx, firstToken{run: g.slot.run}); err != nil {
			return endpointapi.GenerateLine{}, err
		}
	}
	g.next++
	return endpointapi.GenerateLine{Token: Token(g.req.Chat, g.req.Body, g.next-1)}, nil
}

func (g *Generation) wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		select {
		case <-g.slot.run.stop:
			return g.slot.run.cause
		default:
			return ctx.Err()
		}
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-g.slot.run.stop:
		return g.slot.run.cause
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "standin: receiver left")
	}
}

// Close frees the slot.
func (g *Generation) Close(ctx context.Context) {
	if !g.closed {
		g.closed = true
		_ = g.engine.loop.Post(context.WithoutCancel(ctx), finished{run: g.slot.run, generated: int64(g.next)})
	}
}

// Faults returns the faults that are switched on.
func (e *Engine) Faults() EngineFaults { return e.loop.Snapshot().faults }

// SetFaults replaces the faults.
func (e *Engine) SetFaults(ctx context.Context, f EngineFaults) error {
	_, err := control.Ask(ctx, e.loop, engineFaultsSet{Question: control.NewQuestion[bool](), faults: f})
	return err
}

// Stats returns the engine's counts.
func (e *Engine) Stats() EngineStats { return e.loop.Snapshot().stats }

// Cancel ends the request with the given id, if it runs or waits.
func (e *Engine) Cancel(ctx context.Context, id model.RequestID) error {
	_, err := control.Ask(ctx, e.loop, cancelRequest{Question: control.NewQuestion[bool](), id: id})
	return err
}

// Crash ends the engine process as a crashing request does.
func (e *Engine) Crash(ctx context.Context) error {
	_, err := control.Ask(ctx, e.loop, crash{control.NewQuestion[bool]()})
	return err
}

// waitUp returns once the engine process is up, or down, as wanted.
func (e *Engine) waitUp(ctx context.Context, up bool) error {
	_, err := control.Ask(ctx, e.loop, waitProcess{Deferred: control.NewDeferred[bool](), up: up})
	return err
}

// Load returns the lagging load report.
func (e *Engine) Load() endpointapi.Load { return e.loop.Snapshot().load }

// Events returns cache events after since and waits up to wait for one.
func (e *Engine) Events(ctx context.Context, since int64, wait time.Duration) (endpointapi.CacheEvents, error) {
	return control.Ask(ctx, e.loop, readEvents{Deferred: control.NewDeferred[endpointapi.CacheEvents](), since: since, until: time.Now().Add(wait)})
}

// ExportKV returns the cached prefix of a chat, or ErrNoKV.
func (e *Engine) ExportKV(ctx context.Context, chat string) (endpointapi.KV, error) {
	r, err := control.Ask(ctx, e.loop, exportKV{Question: control.NewQuestion[kvAnswer](), chat: chat})
	if err != nil {
		return endpointapi.KV{}, err
	}
	return r.kv, r.err
}

// ImportKV stores the prefix of a chat. It returns ErrOtherKV if the version
// that made it is not loaded.
func (e *Engine) ImportKV(ctx context.Context, kv endpointapi.KV) error {
	r, err := control.Ask(ctx, e.loop, importKV{Question: control.NewQuestion[kvAnswer](), kv: kv})
	if err != nil {
		return err
	}
	return r.err
}

// SendOrder takes an order, or returns endpointapi.ErrOldFence.
func (e *Engine) SendOrder(ctx context.Context, o endpointapi.Order) error {
	r, err := control.Ask(ctx, e.loop, takeOrder{Question: control.NewQuestion[orderAnswer](), order: o})
	if err != nil {
		return err
	}
	return r.err
}

// State returns what the engine has loaded.
func (e *Engine) State() endpointapi.EngineState { return e.loop.Snapshot().state }
