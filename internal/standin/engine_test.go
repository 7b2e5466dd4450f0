package standin

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

func request(id, chat string, prefill, tokens int64) endpointapi.GenerateRequest {
	return endpointapi.GenerateRequest{ID: model.RequestID(id), Chat: chat, Prefill: prefill, MaxTokens: tokens, Route: "chat", Body: []byte(id)}
}

// answer runs req and returns the text of its answer, the number of cached prompt
// tokens and the time to the first token.
func answer(ctx context.Context, e *Engine, req endpointapi.GenerateRequest) (text string, cached int64, first time.Duration, err error) {
	start := time.Now()
	g, err := e.Generate(ctx, req)
	if err != nil {
		return "", 0, 0, err
	}
	defer g.Close(ctx)
	for {
		line, err := g.Next(ctx)
		if err != nil || line.Done {
			return text, g.Head.Cached, first, err
		}
		if text == "" {
			first = time.Since(start)
		}
		text += line.Token
	}
}

// Guards against a batch with more requests than slots, against slots assigned
// without regard to priority, and against a request that keeps its slot after it
// was cancelled or its caller disconnected.
func TestEngineBatch(t *testing.T) {
	withVirtualTime(t, func(ctx context.Context, is *is.I) {
		e := NewEngineWith(EngineConfig{Version: "v1", TokenTime: time.Second, Slots: 1})
		go e.Run(ctx)
		order := make(chan string, 3)
		run := func(id string, priority int) {
			req := request(id, id, 1, 2)
			req.Priority = priority
			_, _, _, err := answer(ctx, e, req)
			if err != nil {
				id += " " + err.Error()
			}
			order <- id
		}
		go run("a", 0)
		synctest.Wait()
		go run("low", 0)
		synctest.Wait()
		go run("high", 1)
		synctest.Wait()
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		_, _, _, err := answer(cancelled, e, request("left", "left", 1, 2))
		is.True(err != nil)
		is.NoErr(e.Cancel(ctx, "a"))
		is.Equal(<-order, "a "+ErrCancelled.Error())
		is.Equal(<-order, "high")
		is.Equal(<-order, "low")
		synctest.Wait()
		is.Equal(e.Stats().MostRunning, int64(1))
		is.Equal(e.Load().Running+e.Load().Waiting, 0)
	})
}

// Guards against a resumed answer that differs from the rest of an uninterrupted
// one.
func TestEngineResumesFromAnyToken(t *testing.T) {
	withVirtualTime(t, func(ctx context.Context, is *is.I) {
		e := NewEngine("v1", time.Millisecond)
		go e.Run(ctx)
		req := request("a", "c", 10, 6)
		whole, _, _, err := answer(ctx, e, req)
		is.NoErr(err)
		req.ResumeFrom = 4
		rest, _, _, err := answer(ctx, e, req)
		is.NoErr(err)
		is.True(strings.HasSuffix(whole, rest))
		is.Equal(len(strings.Fields(rest)), 2)
	})
}

// Guards against a prefix cache that exceeds its memory or evicts the most
// recently used chat, and against an export or import that loses a prefix.
func TestEnginePrefixCache(t *testing.T) {
	withVirtualTime(t, func(ctx context.Context, is *is.I) {
		e := NewEngineWith(EngineConfig{Version: "v1", CacheTokens: 250, PrefillTime: time.Millisecond, EventLag: time.Second, EventGap: 3})
		go e.Run(ctx)
		for _, chat := range []string{"a", "b", "a", "c"} { // c evicts b
			_, _, _, err := answer(ctx, e, request(chat, chat, 100, 1))
			is.NoErr(err)
		}
		events, err := e.Events(ctx, 0, 0)
		is.NoErr(err)
		is.Equal(len(events.Events), 0) // not visible before EventLag
		_, cached, first, err := answer(ctx, e, request("a2", "a", 120, 1))
		is.NoErr(err)
		is.Equal(cached, int64(101))
		is.Equal(first, 19*time.Millisecond)
		_, err = e.ExportKV(ctx, "b")
		is.True(errors.Is(err, ErrNoKV))
		time.Sleep(2 * time.Second)
		events, err = e.Events(ctx, 0, 0)
		is.NoErr(err)
		is.Equal(events.Next, int64(5)) // a, b and c stored, b removed, a longer prefix of a stored
		is.Equal(len(events.Events), 4) // every third event is lost

		other := NewEngineWith(EngineConfig{Version: "v1", CacheTokens: 250})
		go other.Run(ctx)
		kv, err := e.ExportKV(ctx, "a")
		is.NoErr(err)
		is.NoErr(other.ImportKV(ctx, kv))
		_, cached, _, err = answer(ctx, other, request("a3", "a", 130, 1))
		is.NoErr(err)
		is.Equal(cached, int64(121))
		kv.Version = "v2"
		is.True(errors.Is(other.ImportKV(ctx, kv), ErrKVVersion))
	})
}

// Guards against a cold engine that no load slows down or that never turns warm,
// and against an overload that is not counted.
func TestEngineColdStart(t *testing.T) {
	withVirtualTime(t, func(ctx context.Context, is *is.I) {
		e := NewEngineWith(EngineConfig{Version: "v1", ColdTime: time.Second, ColdLimit: 100, WarmAfter: 3, CacheTokens: 1000, StartCold: true})
		go e.Run(ctx)
		first := func(id string) time.Duration {
			_, _, d, err := answer(ctx, e, request(id, id, 96, 1))
			is.NoErr(err)
			return d
		}
		is.Equal(first("a"), time.Second)
		both := make(chan time.Duration, 2)
		go func() { both <- first("b") }()
		synctest.Wait()
		go func() { both <- first("c") }()
		is.Equal(<-both, time.Second)
		is.Equal(<-both, 2*time.Second)
		is.Equal(e.Stats().ColdOverloads, int64(1))
		is.Equal(first("d"), time.Duration(0)) // warm

		is.NoErr(e.SetFaults(ctx, EngineFaults{Cold: true}))
		is.NoErr(e.SetFaults(ctx, EngineFaults{}))
		is.Equal(first("a"), time.Second) // cold again, with an empty cache
	})
}

// Guards against a crash that leaves requests waiting forever, keeps the cache or
// is over before DownMS.
func TestEngineCrashesOnMarker(t *testing.T) {
	withVirtualTime(t, func(ctx context.Context, is *is.I) {
		e := NewEngineWith(EngineConfig{Version: "v1", TokenTime: time.Second, CacheTokens: 1000})
		go e.Run(ctx)
		is.NoErr(e.SetFaults(ctx, EngineFaults{CrashMarker: "boom", DownMS: 5000}))
		aborted := make(chan error, 1)
		go func() { _, _, _, err := answer(ctx, e, request("a", "a", 1, 100)); aborted <- err }()
		time.Sleep(10 * time.Second)
		_, _, _, err := answer(ctx, e, request("boom", "b", 1, 1))
		is.True(errors.Is(err, ErrCrashed))
		is.True(errors.Is(<-aborted, ErrCrashed))
		_, _, _, err = answer(ctx, e, request("c", "c", 1, 1))
		is.True(errors.Is(err, ErrCrashed))
		start := time.Now()
		is.NoErr(e.waitForProcess(ctx, true))
		is.True(time.Since(start) >= 4900*time.Millisecond)
		_, cached, _, err := answer(ctx, e, request("d", "a", 50, 1))
		is.NoErr(err)
		is.Equal(cached, int64(0))
		is.True(e.Load().UptimeMS < 5000)
		is.Equal(e.Stats().Crashes, int64(1))
	})
}

// Guards against a version fault that applies to other versions or routes, before
// its time, or with fewer running requests than MinRunning.
func TestEngineVersionFaults(t *testing.T) {
	withVirtualTime(t, func(ctx context.Context, is *is.I) {
		e := NewEngineWith(EngineConfig{Version: "v1", TokenTime: time.Second})
		go e.Run(ctx)
		is.NoErr(e.SendOrder(ctx, endpointapi.Order{Fence: 1, Kind: endpointapi.OrderLoad, Version: "v2"}))
		synctest.Wait()
		is.NoErr(e.SetFaults(ctx, EngineFaults{Versions: []VersionFault{
			{Version: "v2", Route: "labels", FailShare: 1, AfterMS: 60_000},
			{Version: "v2", SlowFactor: 3, MinRunning: 2},
		}}))
		run := func(v model.Version, route model.Route) (time.Duration, error) {
			req := request("a", "a", 1, 1)
			req.Version, req.Route = v, route
			_, _, first, err := answer(ctx, e, req)
			return first, err
		}
		first, err := run("v2", "labels")
		is.NoErr(err)
		is.Equal(first, time.Second) // before AfterMS and below MinRunning
		time.Sleep(time.Minute)
		_, err = run("v2", "labels")
		is.True(errors.Is(err, ErrFailed))
		_, err = run("v1", "labels")
		is.NoErr(err)
		_, err = run("v2", "chat")
		is.NoErr(err)
		go func() { _, _, _, _ = answer(ctx, e, request("long", "b", 1, 100)) }()
		synctest.Wait()
		first, err = run("v2", "chat")
		is.NoErr(err)
		is.Equal(first, 3*time.Second)
		_, err = run("v3", "chat")
		is.True(errors.Is(err, ErrNotLoaded))
	})
}

// Guards against an order with a stale fence that is accepted or not counted, and
// against loads beyond the rate limit of the weight store.
func TestEngineOrders(t *testing.T) {
	withVirtualTime(t, func(ctx context.Context, is *is.I) {
		store, weights := NewWeightStore(WeightConfig{LoadsPerMinute: 1, LoadTime: 10 * time.Second})
		go store.Run(ctx)
		fenced := NewEngineWith(EngineConfig{Version: "v1", Weights: weights})
		unfenced := NewEngineWith(EngineConfig{Version: "v1", Weights: weights, IgnoresFence: true})
		go fenced.Run(ctx)
		go unfenced.Run(ctx)
		load := func(fence int64) endpointapi.Order {
			return endpointapi.Order{Fence: fence, Kind: endpointapi.OrderLoad, Version: "v2"}
		}
		is.NoErr(fenced.SendOrder(ctx, load(7)))
		is.Equal(fenced.State().Loading, []model.Version{"v2"})
		synctest.Wait() // its load has started
		is.True(errors.Is(fenced.SendOrder(ctx, load(6)), endpointapi.ErrStaleFence))
		is.NoErr(unfenced.SendOrder(ctx, load(7))) // the store refuses its load
		is.NoErr(unfenced.SendOrder(ctx, endpointapi.Order{Fence: 6, Kind: endpointapi.OrderRole, Role: "decode"}))
		time.Sleep(11 * time.Second)
		is.Equal(fenced.State().Loaded, []model.Version{"v1", "v2"})
		is.Equal(unfenced.State().Loaded, []model.Version{"v1"})
		is.Equal(unfenced.State().Loading, []model.Version{})
		is.Equal(unfenced.Stats().StaleFences, int64(1))
		is.Equal(store.Stats(), WeightStats{Started: 1, Refused: 1})
	})
}

// Guards against a run that is not counted under its key, which would hide a
// duplicate, and against a call that loses its answer without having run.
func TestServiceCountsRunsByKey(t *testing.T) {
	withVirtualTime(t, func(ctx context.Context, is *is.I) {
		s := NewService()
		go s.Run(ctx)
		is.NoErr(s.SetFaults(ctx, ServiceFaults{LoseAnswers: 1}))
		_, err := s.Call(ctx, "assign", "k", nil)
		is.True(errors.Is(err, ErrAnswerLost))
		result, err := s.Call(ctx, "assign", "k", []byte(`{"ticket":7}`))
		is.NoErr(err)
		is.Equal(result.Run, int64(2))
		_, err = s.Call(ctx, "transfer", "", nil)
		is.NoErr(err)
		stats, err := s.Stats(ctx)
		is.NoErr(err)
		is.Equal(stats.Duplicates, int64(1))
		is.Equal(stats.Keys["k"], int64(2))
		is.Equal(stats.Routes, map[string]int64{"assign": 2, "transfer": 1})
	})
}
