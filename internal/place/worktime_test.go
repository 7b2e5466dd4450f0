package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against work times that count although they are old, against a slow endpoint that
// counts as slow only after many answers, and against a notice to all routers for each
// answer.
func TestWorkTimesCountForATime(t *testing.T) {
	is := is.New(t)
	tab, peer := table(engines(2)), table(engines(2))
	state := func(ms int, figure float64) (told bool) {
		tab.RecordStatedLoad(at(ms), "i-0", StatedLoad{Known: true, WorkTime: figure})
		h, notice, _, tell := tab.WorkTimeNotice(at(ms), "i-0")
		if tell {
			peer.ApplyWorkTime(at(ms), h, notice)
		}
		return tell
	}
	slowness := func(tab *Table, ms int) float64 {
		return tab.expect(at(ms), Query{Pool: "p"}, 1).slowness(tab.endpoints["i-0"])
	}
	for i, figure := range []float64{1, 1.4, 0.7, 1.3, 0.8, 1.45} {
		is.True(!state(i*100, figure))
		is.Equal(slowness(tab, i*100), 1.0)
	}
	is.True(state(1000, 4))
	is.True(!state(1200, 3.6))
	is.True(slowness(tab, 1200) > 3 && slowness(peer, 1200) > 3)
	is.True(slowness(tab, 2200) > 3) // still counts in full
	is.True(state(2250, 4))          // the peers are notified again
	is.True(slowness(tab, 4000) < 4 && slowness(tab, 4000) > 1)
	is.Equal(slowness(tab, 5300), 1.0)
	is.True(state(5400, 4))
	is.True(state(5500, 1)) // it is as usual again
	is.Equal(slowness(tab, 5500), 1.0)
	is.Equal(slowness(peer, 5500), 1.0)
	state(6000, 0.01)
	is.Equal(slowness(tab, 6000), minWorkFactor)
}

// Guards against a message to all routers for each answer of endpoints whose work time jumps
// from one answer to the next.
func TestNoticesOfWorkTimesAreBounded(t *testing.T) {
	is := is.New(t)
	const routers = 28
	tab := table(engines(50))
	for i := range routers - 1 {
		tab.UpdatePeerLoads(start, fmt.Sprint(i), nil)
	}
	sent := 0
	for ms := range 10_000 {
		id := engines(50)[ms%50].ID
		tab.RecordStatedLoad(at(ms), id, StatedLoad{Known: true, WorkTime: 0.3 + float64(ms/50%2)*5})
		if _, _, _, tell := tab.WorkTimeNotice(at(ms), id); tell {
			sent++
		}
	}
	is.True(sent > 0 && float64(sent) <= 10*noticesPerS/routers+noticeBurst+1)
}

// answer returns the times of an answer of an engine that reads perMs tokens in a
// millisecond.
func answer(uncached, fetched int, perMs, fetchPerMs float64, noise time.Duration) AnswerTime {
	first := 30*time.Millisecond + noise + time.Duration((float64(uncached)/perMs+float64(fetched)/fetchPerMs)*float64(time.Millisecond))
	return AnswerTime{Kind: "k", Stated: StatedLoad{Known: true, WorkTime: 1}, Uncached: uncached, Fetched: fetched, FirstEvent: first, Whole: first + time.Second}
}

// Guards against waits for the prefill of another request that are those of an engine of
// the first users, and against rates that delays for other reasons distort. The target is
// a tenth for a prompt of 10,512 tokens.
func TestPrefillRatesAreLearned(t *testing.T) {
	for _, perMs := range []float64{112, 61.2} {
		is := is.New(t)
		tab := table(engines(3))
		rng := rand.New(rand.NewPCG(1, 1))
		for i := range 400 {
			uncached := 100 + rng.IntN(1500)
			if i%50 == 0 {
				uncached = 11812
			}
			noise := time.Duration(rng.ExpFloat64() * float64(5*time.Millisecond))
			tab.RecordAnswerTime(at(i*60), model.EndpointID("i-0"), answer(uncached, 0, perMs, 1, noise))
		}
		q := Query{Pool: "p", Part: 7, Tokens: 10512, PromptTokens: 11812}
		first, _ := tab.Pick(at(30_000), q)
		is.Equal(first.Uncached, 11812)
		second, _ := tab.Pick(at(30_000), q)
		want := 30 + 10512/perMs
		t.Logf("%.0f tokens a ms: wait %v, exact %.1fms", perMs, second.Wait, want)
		is.True(milliseconds(second.Wait) > 0.9*want && milliseconds(second.Wait) < 1.1*want)
	}
}

// Guards against prompts that are read again although their holder is slow only for a short
// request, against requests that stay at a slow holder although reading the prompt takes
// less time, and against an endpoint that is left without a known slowness, or with one that
// may be over at once, as on a machine that is slow by turns.
func TestHoldersAreLeftOnlyWhereThatSavesTime(t *testing.T) {
	for _, test := range []struct {
		workTime float64
		tokens   int
		lasts    time.Duration // that the holder has been slow
		want     Reason
	}{
		{1.4, 700, time.Second, HoldsPrompt}, {4, 700, time.Second, HoldersSlow}, {4, 200_000, time.Second, HoldsPrompt},
		{4, 700, 0, HoldsPrompt}, {4, 700, minSlowTime / 2, HoldsPrompt},
	} {
		is := is.New(t)
		tab := table(engines(9))
		for i := range 20 {
			tab.RecordAnswerTime(start, "i-5", answer(100+100*i, 0, 112, 1, 0))
		}
		q := Query{Pool: "p", Kind: "k", Part: 7, Tokens: test.tokens, PromptTokens: test.tokens + 100}
		tab.AddHolder(start, 7, EndpointHash("i-1"))
		stated := StatedLoad{Known: true, WorkTime: test.workTime}
		tab.RecordStatedLoad(start.Add(-test.lasts), "i-1", stated)
		tab.RecordStatedLoad(start, "i-1", stated)
		c, _ := tab.Pick(start, q)
		is.Equal(c.Reason, test.want)
		is.Equal(c.FetchFrom == "", test.want == HoldsPrompt)
	}
}

// Guards against an endpoint that is slow and states that it works as usual.
func TestSlownessIsLearnedFromAnswers(t *testing.T) {
	is := is.New(t)
	tab := table(engines(3))
	for i := range 60 {
		id, perMs := engines(3)[i%3].ID, 112.0
		a := answer(1000, 0, perMs, 1, 0)
		if i%3 == 1 {
			a.FirstEvent *= 4
		}
		tab.RecordAnswerTime(at(i*50), id, a)
	}
	share := func(ms int) float64 {
		n := 0
		for i := range 60 {
			c, _ := tab.Pick(at(ms), Query{Pool: "p", Kind: "k", Key: uint64(i), PromptTokens: 1000})
			defer tab.Complete(at(ms), c.Endpoint.ID, Answered, 0)
			if c.Endpoint.ID == "i-1" {
				n++
			}
		}
		return float64(n) / 60
	}
	is.True(share(3000) < 0.5/3)
	is.True(share(3000+int(maxLearnedAge.Milliseconds())) > 0.9/3) // the next answers tell its speed
}

// Guards against prompts that are fetched although reading them again takes half the time.
func TestSlowFetchesEnd(t *testing.T) {
	is := is.New(t)
	tab := table(engines(3))
	for i := range 30 {
		tab.RecordAnswerTime(start, "i-0", answer(100+300*i, 0, 112, 1, 0))
	}
	loaded := func(part uint64) Choice {
		tab.AddHolder(start, part, EndpointHash("i-2"))
		tab.endpoints["i-2"].health.backoffUntil = at(1000)
		c, _ := tab.Pick(start, Query{Pool: "p", Kind: "k", Part: part, Tokens: 5000, PromptTokens: 5100})
		return c
	}
	is.Equal(loaded(1).Fetched, 5000)
	for range minFetches {
		tab.RecordAnswerTime(start, "i-0", answer(100, 5000, 112, 30, 0))
	}
	is.Equal(loaded(2).FetchFrom, "")
	is.Equal(loaded(3).Uncached, 5100)
}

// BenchmarkCapacityPickByTime measures the selection for one request among 170 endpoints
// that state their work time, a quarter of them slow, with 40 peers.
func BenchmarkCapacityPickByTime(b *testing.B) {
	tab := table(engines(170))
	for i, e := range engines(170) {
		load := StatedLoad{Running: 5, Slots: 128, WorkTime: 1, Known: true}
		if i%4 == 0 {
			load.WorkTime = 4
		}
		tab.RecordStatedLoad(start, e.ID, load)
	}
	b.ReportAllocs()
	for i := uint64(1); b.Loop(); i++ {
		c, _ := tab.Pick(start, Query{Pool: "p", Part: i % 1000, Tokens: 700, PromptTokens: 800, Key: i})
		tab.Complete(start, c.Endpoint.ID, Answered, 0)
	}
}

// Guards against choices that change in deployments whose endpoints state no work time.
func TestPoolsWithoutWorkTimesAreComparedByLoad(t *testing.T) {
	is := is.New(t)
	timed, plain := table(engines(9)), table(engines(9))
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 300 {
		q := Query{Pool: "p", Kind: "k", Part: rng.Uint64N(20), Tokens: 5000, PromptTokens: 6000, Key: rng.Uint64()}
		a, _ := timed.Pick(at(i), q)
		b, _ := plain.Pick(at(i), q)
		is.Equal(a, b)
		load := StatedLoad{Running: rng.IntN(300), Waiting: rng.IntN(3), Slots: 8, Known: true}
		slow := answer(5000, 0, 1, 1, 0)
		slow.Stated = load
		timed.RecordAnswerTime(at(i), a.Endpoint.ID, slow)
		ends := rng.IntN(3) > 0
		for _, tab := range []*Table{timed, plain} {
			tab.RecordStatedLoad(at(i), a.Endpoint.ID, load)
			_, _, _, tell := tab.WorkTimeNotice(at(i), a.Endpoint.ID)
			is.True(!tell)
			if ends {
				tab.Complete(at(i), a.Endpoint.ID, Answered, 0)
			}
		}
	}
}
