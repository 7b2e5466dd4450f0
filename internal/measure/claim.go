package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/claim"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/standin"
)

// claimFault is a kind of fault injected into the claim histories.
type claimFault int

// The kinds of fault. Each world combines two or three of them.
const (
	faultFleetNetwork claimFault = iota // on connections between entries and sides
	faultCallers                        // on connections between callers and entries
	faultLogCalls                       // lost, late and refused appends
	faultPause                          // an owner is paused, possibly past the end of its epoch
	faultReplace                        // a side is killed and replaced
	faultOutage                         // the log service is down
	faultRetention                      // the log trims old records
	faultStop                           // a side shuts down gracefully
	claimFaultCount
)

// Sizes of the claim histories.
const (
	claimWorlds     = 64
	claimHistories  = 100 // per world
	claimSpread     = 20 * time.Second
	callsPerHistory = 4
)

var fleetFaults = standin.Faults{
	standin.FaultRefuse: 0.02, standin.FaultLoseRequest: 0.03, standin.FaultLoseAnswer: 0.06, standin.FaultTruncate: 0.04,
	standin.FaultLate: 0.03, standin.FaultDuplicate: 0.04, standin.FaultCross: 0.03,
	standin.FaultRepeat: 0.03, standin.FaultForeign: 0.03, standin.FaultSwap: 0.01,
}

var callerFaults = standin.Faults{
	standin.FaultLoseRequest: 0.05, standin.FaultLoseAnswer: 0.15, standin.FaultTruncate: 0.1,
	standin.FaultLate: 0.05, standin.FaultDuplicate: 0.05,
}

// historyCall is one call of a history and its result as the caller saw it.
type historyCall struct {
	request string
	status  int // 0 without an answer
	body    string
	outcome model.Outcome
	voided  bool
	runs    atomic.Int32 // executions that this call caused
	latency time.Duration
}

// history is the sequence of calls with one idempotency key.
type history struct {
	key   string // empty for a call without an idempotency key
	calls []*historyCall
	runs  atomic.Int32 // executions of all calls together
}

// claimTally counts the outcomes of histories.
type claimTally struct {
	histories, responses, runs   int64
	ranTwice, falseNotRun, wrong int64
	answered, unknown, notRun    int64
	planned                      [claimFaultCount]int64
	injected                     [standin.FaultCount]int64
	lost, late, refused          int64
	appends                      int64
	latency                      time.Duration // mean of the first calls that were answered
}

// claimRun is one world with its histories.
type claimRun struct {
	*world
	histories        []*history
	callByRequest    map[string]*historyCall
	historyByRequest map[string]*history
	faultSet         []claimFault
	tally            claimTally
}

func newClaimRun(seed uint64, n int, faults []claimFault, disabled disabledMechanisms) *claimRun {
	r := &claimRun{world: newWorld(seed, disabled), callByRequest: map[string]*historyCall{}, historyByRequest: map[string]*history{}, faultSet: faults}
	for i := range n {
		h := &history{}
		if r.rng.IntN(4) > 0 {
			h.key = fmt.Sprintf("order-%d", i)
		}
		for s := range callsPerHistory {
			call := &historyCall{request: fmt.Sprintf("h%d-s%d", i, s)}
			h.calls = append(h.calls, call)
			r.callByRequest[call.request] = call
			r.historyByRequest[call.request] = h
		}
		r.histories = append(r.histories, h)
	}
	return r
}

func (r *claimRun) hasFault(f claimFault) bool {
	for _, g := range r.faultSet {
		if g == f {
			return true
		}
	}
	return false
}

// service returns the handler of the service, which runs reservations and
// counts them.
func (r *claimRun) service() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /reserve", func(w http.ResponseWriter, in *http.Request) {
		id := in.Header.Get("Request-Id")
		h, call := r.historyByRequest[id], r.callByRequest[id]
		call.runs.Add(1)
		n := h.runs.Add(1)
		wait(r.runTime(id))
		fmt.Fprintf(w, "reserved %s by run %d", h.name(), n)
	})
	return mux
}

// runTime returns how long a request executes. In worlds with faults some
// requests execute for longer than the request timeout, so that entries end
// their wait during the execution.
func (r *claimRun) runTime(request string) time.Duration {
	n := xxhash.Sum64String(request)
	if len(r.faultSet) > 0 && n%10 == 0 {
		return 3 * stateTimeout / 2
	}
	return time.Duration(n%40) * 5 * time.Millisecond
}

func (h *history) name() string { return h.calls[0].request }

// run runs the world and returns its tally. The caller provides the bubble.
func (r *claimRun) run() claimTally {
	for i := range stateServices {
		r.addSide(fmt.Sprint("stock-", i), "stock", model.Service, r.service())
	}
	if r.hasFault(faultRetention) {
		r.fillStreams()
	}
	r.addEntries()
	r.startFaults()
	var wg sync.WaitGroup
	for i, h := range r.histories {
		wg.Go(func() { r.runHistory(h, rand.New(rand.NewPCG(r.seed, uint64(1000+i)))) })
	}
	wg.Wait()
	wait(stateSettle)
	r.count()
	r.close()
	return r.tally
}

// oldRecords is the number of records in each stream before the run. The
// retention is one less, so that the run trims some of them but none of its own
// records: a key is honoured only as long as its record is retained.
const oldRecords = 60

// fillStreams adds records of an earlier owner, malformed ones among them, and
// sets a retention that trims them during the run.
func (r *claimRun) fillStreams() {
	for p := range claim.Partitions {
		for i := range oldRecords {
			rec := claim.Record{ID: fmt.Sprintf("old-%d-%d", p, i), Items: []claim.Item{
				{Kind: claim.KindEpoch, ID: fmt.Sprintf("old-%d-%d", p, i), Pool: "stock", Owner: "stock-gone"}}}
			if i%3 == 1 {
				rec.Items[0] = claim.Item{Kind: claim.KindClaim, ID: "old", Pool: "stock", Owner: "stock-gone", Key: claim.Key{byte(p), byte(i)}, Epoch: int64(i - 1)}
			}
			data, _ := rec.Encode()
			if i%6 == 5 {
				data = data[:len(data)/2]
			}
			_, _ = r.processLog(99).Append(r.ctx, claim.Stream(p), data)
		}
	}
	r.faults.Retain.Store(oldRecords - 1)
}

// startFaults sets the network and log faults of the world and schedules its
// other faults in random order.
func (r *claimRun) startFaults() {
	if r.hasFault(faultFleetNetwork) {
		r.fleet.SetFaults(fleetFaults)
	}
	if r.hasFault(faultCallers) {
		r.callers.SetFaults(callerFaults)
	}
	if r.hasFault(faultLogCalls) {
		r.faults.LosePer.Store(60)
		r.faults.LatePer.Store(30)
		r.faults.RefusePer.Store(30)
	}
	var events []func()
	plan := func(f claimFault, times int, do func()) {
		for range times {
			if r.hasFault(f) {
				events = append(events, do)
				r.tally.planned[f]++
			}
		}
	}
	plan(faultPause, 4, r.pauseOwner)
	plan(faultReplace, 2, r.replaceSide)
	plan(faultOutage, 3, r.outage)
	plan(faultStop, 2, r.stopSideGracefully)
	r.rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
	r.group.Go(func() error {
		for _, do := range events {
			wait(claimSpread / time.Duration(len(events)+1))
			do()
		}
		return nil
	})
}

func (r *claimRun) pauseOwner() {
	n := r.randomSide("stock")
	n.log.Pause()
	n.host.Pause()
	d := time.Duration(500+r.rng.IntN(4000)) * time.Millisecond
	r.group.Go(func() error {
		wait(d)
		n.log.Resume()
		n.host.Resume()
		return nil
	})
}

func (r *claimRun) replaceSide() {
	n := r.randomSide("stock")
	r.killSide(n)
	r.addSide(fmt.Sprint("stock-", len(r.sides)), "stock", model.Service, r.service())
}

func (r *claimRun) outage() {
	r.faults.Down.Store(true)
	wait(time.Duration(300+r.rng.IntN(2500)) * time.Millisecond)
	r.faults.Down.Store(false)
}

func (r *claimRun) stopSideGracefully() {
	n := r.randomSide("stock")
	n.stopped = true
	r.group.Go(func() error {
		n.side.Drain(r.ctx, 10*time.Second)
		r.killSide(n)
		return nil
	})
	r.addSide(fmt.Sprint("stock-", len(r.sides)), "stock", model.Service, r.service())
}

// runHistory sends the calls of one history: the first call, sometimes a
// concurrent duplicate, further calls after a missing or unknown outcome, and
// sometimes a duplicate after a known outcome.
func (r *claimRun) runHistory(h *history, rng *rand.Rand) {
	wait(time.Duration(rng.Int64N(int64(claimSpread))))
	calls := h.calls
	if h.key == "" {
		r.send(h, calls[0], rng.IntN(stateEntries)) // without a key each further call is a new request
		return
	}
	var both sync.WaitGroup
	if rng.IntN(5) == 0 {
		second, at := calls[1], rng.IntN(stateEntries)
		both.Go(func() { r.send(h, second, at) })
	}
	r.send(h, calls[0], rng.IntN(stateEntries))
	both.Wait()
	for _, s := range calls[2:] {
		outcomeKnown := calls[0].status == http.StatusOK || calls[0].outcome == model.OutcomeNotRun
		if outcomeKnown && rng.IntN(3) > 0 {
			return
		}
		wait(time.Duration(rng.IntN(3000)) * time.Millisecond)
		r.send(h, s, rng.IntN(stateEntries))
	}
}

func (r *claimRun) send(h *history, s *historyCall, to int) {
	ctx, cancel := context.WithTimeout(r.ctx, 3*stateTimeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.entries[to].id+"/v1/services/stock/reserve", strings.NewReader(`{"unit":7}`))
	req.Header.Set("Authorization", "Bearer "+stateKey)
	req.Header.Set("Request-Id", s.request)
	req.Header.Set("Request-Timeout", fmt.Sprint(stateTimeout.Milliseconds()))
	if h.key != "" {
		req.Header.Set("Idempotency-Key", h.key)
	}
	start := time.Now()
	resp, err := r.callers.RoundTrip(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	var p struct {
		Type    string        `json:"type"`
		Outcome model.Outcome `json:"outcome"`
	}
	if resp.StatusCode != http.StatusOK && json.Unmarshal(body, &p) != nil {
		return
	}
	s.status, s.body, s.outcome = resp.StatusCode, string(body), p.Outcome
	s.voided = strings.HasSuffix(p.Type, string(model.ReasonVoided))
	s.latency = time.Since(start)
}

// count compares the results that the callers saw with the executions at the
// services.
func (r *claimRun) count() {
	t := &r.tally
	t.histories = int64(len(r.histories))
	for _, h := range r.histories {
		runs := int64(h.runs.Load())
		t.runs += runs
		if runs > 1 {
			t.ranTwice++
		}
		want := fmt.Sprintf("reserved %s by run 1", h.name())
		for _, s := range h.calls {
			switch {
			case s.status == http.StatusOK:
				t.answered++
				if s.body != want {
					t.wrong++
				}
			case s.outcome == model.OutcomeNotRun:
				t.notRun++
				if s.runs.Load() > 0 || s.voided && runs > 0 {
					t.falseNotRun++
				}
			case s.outcome == model.OutcomeRan && runs == 0:
				t.wrong++
			case s.outcome == model.OutcomeUnknown:
				t.unknown++
			}
			if s.status != 0 {
				t.responses++
			}
		}
	}
	t.latency = r.meanLatency()
	for f := range standin.FaultCount {
		t.injected[f] = r.fleet.Injected(f) + r.callers.Injected(f)
	}
	t.lost, t.late, t.refused, t.appends = r.faults.Lost.Load(), r.faults.Late.Load(), r.faults.Refused.Load(), r.faults.Appends.Load()
}

func (r *claimRun) meanLatency() time.Duration {
	var sum, n time.Duration
	for _, h := range r.histories {
		if s := h.calls[0]; s.status == http.StatusOK {
			sum += s.latency
			n++
		}
	}
	return sum / max(1, n)
}

func (t *claimTally) add(o claimTally) {
	t.histories += o.histories
	t.responses += o.responses
	t.runs += o.runs
	t.ranTwice += o.ranTwice
	t.falseNotRun += o.falseNotRun
	t.wrong += o.wrong
	t.answered += o.answered
	t.unknown += o.unknown
	t.notRun += o.notRun
	t.lost += o.lost
	t.late += o.late
	t.refused += o.refused
	t.appends += o.appends
	for i := range o.planned {
		t.planned[i] += o.planned[i]
	}
	for i := range o.injected {
		t.injected[i] += o.injected[i]
	}
}

// claimFaultSet returns the faults of world i. The worlds go through all pairs
// in turn, and every fourth world has a third fault.
func claimFaultSet(i int) []claimFault {
	n := int(claimFaultCount)
	pair := i % (n * (n - 1) / 2)
	for a := range n {
		if rest := n - 1 - a; pair < rest {
			out := []claimFault{claimFault(a), claimFault(a + 1 + pair)}
			if i%4 == 3 {
				out = append(out, claimFault((a+pair+3)%n))
			}
			return out
		} else {
			pair -= rest
		}
	}
	return nil
}

// runClaimWorlds runs a number of worlds, each with its faults, and adds up
// their tallies.
func runClaimWorlds(env Env, worlds, histories int, disabled disabledMechanisms) claimTally {
	var sum claimTally
	for i := range worlds {
		env.Bubble(func() {
			sum.add(newClaimRun(env.Seed*1_000_003+uint64(i)*977, histories, claimFaultSet(i), disabled).run())
		})
	}
	return sum
}
