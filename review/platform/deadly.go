package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

func init() { cases["deadly"] = deadlyPart }

// deadlyPart sends sound requests that share their first prompt part, and then also
// requests that have this part and one that crashes each engine that begins to answer.
func deadlyPart(w *world) (bool, error) {
	const (
		engines    = 4
		routers    = 3
		window     = 3 * time.Second // StableWindowMs
		baseline   = 30 * time.Second
		poison     = 48 * time.Second
		soundEvery = 1200 * time.Millisecond // mean
		badEvery   = 120 * time.Millisecond  // mean
		wait       = 12 * time.Second
		firstPart  = "a1:512"
		deadly     = "dead"
		minimum    = 20 // of each, for the rule to hold or break
	)
	w.store.SetConfig(standin.Config(1, []standin.Route{
		{Name: "briefing", Path: "/stream/briefing/", Type: "stream", Pool: "engines", Timeout: wait, LatencyTarget: time.Second, Attempts: 1},
	}, map[string][]string{"studio": {testKey}}))
	var list []*engine
	for i := range engines {
		e, err := w.addEngine(fmt.Sprintf("engine-%d", i), 64)
		if err != nil {
			return false, err
		}
		e.events, e.interval = 30, 100*time.Millisecond
		e.deadly, e.down, e.pool, e.dataCentre = deadly, 2*time.Second, "engines", fmt.Sprintf("dc-%d", i%2)
		w.register(e.id, e.address, e.pool, e.dataCentre, "ready", time.Now().UnixMilli())
		list = append(list, e)
	}
	for i := range routers {
		if err := w.addRouter(fmt.Sprintf("router-%d", i), fmt.Sprintf("dc-%d", i%2)); err != nil {
			return false, err
		}
	}
	if err := w.startRouters(); err != nil {
		return false, err
	}
	pause(3500 * time.Millisecond)
	type attempt struct {
		at    time.Time
		began bool
	}
	results := newOwner()
	var sound []attempt                // of results
	ended := make(chan struct{}, 1000) // one for each sound request that ended
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	// spread returns a pause between half and one and a half times the mean.
	spread := func(mean time.Duration) time.Duration {
		return mean/2 + time.Duration(rng.Int64N(int64(mean)))
	}
	send := func(n int, name, prefix string, bad bool) {
		wg.Go(func() {
			at := time.Now()
			c, err := w.dial(name, w.routers[n%routers])
			began := false
			if err == nil {
				defer c.conn.Close()
				o := c.do("POST", fmt.Sprintf("/stream/briefing/%s-%d", name, n), wait,
					"X-Goldcrestturn-Model: m", "X-Goldcrestturn-Token-Usage: 1000,200", "X-Goldcrestturn-Prefix-Hash: "+prefix)
				began = o.status == 200
				if !bad {
					ended <- struct{}{}
				}
			}
			if !bad {
				results.do(func() { sound = append(sound, attempt{at, began}) })
			}
		})
	}
	begin := time.Now()
	nextSound, nextBad := begin, time.Time{}
	for n := 0; ; n++ {
		now := time.Now()
		if now.After(begin.Add(baseline + poison)) {
			break
		}
		if !now.Before(nextSound) {
			// Twelve sessions share the first part; the last part is the request's own.
			send(rng.IntN(1000), "sound", fmt.Sprintf("%s,%x:400,%x:100", firstPart, 0xc00+n%12, 0x100000+n), false)
			nextSound = nextSound.Add(spread(soundEvery))
		}
		if now.After(begin.Add(baseline)) && nextBad.IsZero() {
			select {
			case <-ended: // of before
				continue
			default:
			}
			<-ended // the deadly requests begin when a sound one has ended
			nextBad = time.Now().Add(50 * time.Millisecond)
			continue
		}
		if w.trouble && !nextBad.IsZero() && !now.Before(nextBad) {
			send(rng.IntN(1000), "deadly", fmt.Sprintf("%s,%s:400,%x:100", firstPart, deadly, 0x200000+n), true)
			nextBad = nextBad.Add(spread(badEvery))
		}
		pause(10 * time.Millisecond)
	}
	wg.Wait()
	var crashes []time.Time
	for _, e := range list {
		e.state.do(func() { crashes = append(crashes, e.crashes...) })
	}
	sort.Slice(crashes, func(i, j int) bool { return crashes[i].Before(crashes[j]) })
	from := begin.Add(baseline)
	if n := len(crashes); n > 0 {
		from = crashes[min(n, 5)-1].Add(2 * window)
	}
	for i, at := range crashes {
		w.logf("crash %d at %.3f s", i+1, at.Sub(w.begin).Seconds())
	}
	var before, after [2]int // all, begun
	for _, a := range sound {
		s := &after
		switch {
		case a.at.Before(begin.Add(baseline)):
			s = &before
		case a.at.Before(from):
			continue
		}
		s[0]++
		if a.began {
			s[1]++
		}
	}
	w.logf("before: %d sound requests, %d begun at the first attempt; from %.3f s on: %d, %d begun", before[0], before[1], from.Sub(w.begin).Seconds(), after[0], after[1])
	if before[0] < minimum || after[0] < minimum {
		return false, fmt.Errorf("%w: fewer than %d sound requests", errCannotRun, minimum)
	}
	return float64(after[1])/float64(after[0]) >= 0.5*float64(before[1])/float64(before[0]), nil
}
