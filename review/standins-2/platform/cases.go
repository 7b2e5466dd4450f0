package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// whole returns the whole body of an endpoint's answer.
func whole(pieces int, stream bool) string {
	var b strings.Builder
	for i := range pieces {
		b.WriteString(piece(i, stream))
	}
	return b.String()
}

// checkWhole records a success that looks complete and is not the whole body.
func (f *fleet) checkWhole(id string, got reply, pieces int, stream bool) {
	rule := "MIXED"
	if stream {
		rule = "ORDER"
	}
	if got.status == 200 && got.complete && got.body != whole(pieces, stream) {
		f.breaks("%s: %s was answered with 200 and ends as complete after %d of %d bytes", rule, id, len(got.body), len(whole(pieces, stream)))
	}
}

// playGone: a server of four in each of two pools is taken away 2 s after the notice, while it
// writes answers without a length. It says in its answers that it leaves and never reports that
// to the store.
func playGone(at place) int {
	f := newFleet(at, routes(1, "key-1"))
	const events, parts = 40, 20
	var leaving []*endpoint
	for i := range 4 {
		zone := []string{"akl-a", "akl-b", "akl-c"}[i%3]
		model := f.newEndpoint(fmt.Sprint("model-", i), "goldcrest-pool", zone, behaviour{Unframed: true, Events: events, Interval: 50 * time.Millisecond})
		plain := f.newEndpoint(fmt.Sprint("plain-", i), "tracker-api", zone, behaviour{Unframed: true, Events: parts, Interval: 15 * time.Millisecond})
		if i == 0 {
			leaving = []*endpoint{model, plain}
		}
	}
	r := f.newRouter("edge-1", "akl-a")
	notice := time.Now()
	if f.trouble {
		for _, e := range leaving {
			e.signal(syscall.SIGUSR1)
		}
	}
	var callers sync.WaitGroup
	send := func(id, path string, pieces int) {
		callers.Add(1)
		go func() {
			defer callers.Done()
			f.checkWhole(id, f.send(r, id, "POST", path, []byte(`{"unit":7}`), 5*time.Second), pieces, strings.HasPrefix(path, "/stream"))
		}()
	}
	waitUntil(notice.Add(900 * time.Millisecond))
	for i := range 8 {
		send(fmt.Sprint("digest-", i), "/stream/digest/1", events)
	}
	waitUntil(notice.Add(1850 * time.Millisecond))
	for i := range 8 {
		send(fmt.Sprint("assign-", i), "/assign/1", parts)
	}
	waitUntil(notice.Add(2 * time.Second))
	if f.trouble {
		for _, e := range leaving {
			e.kill()
			f.unlist(e)
		}
	}
	callers.Wait()
	return f.end()
}

// playGrace: the platform doubles GraceS with a signal, and stops the router later.
func playGrace(at place) int {
	f := newFleet(at, routes(1, "key-1"))
	const events = 50
	e := f.newEndpoint("model-0", "goldcrest-pool", "akl-a", behaviour{Events: events, Interval: 200 * time.Millisecond})
	const before, after = 8, 16
	grace := before
	if !f.trouble {
		grace = after
	}
	r := f.newRouterWith("edge-1", "akl-a", grace)
	if f.trouble {
		r.values.graceS = after
		r.write()
		r.signal(syscall.SIGHUP)
	}
	pause(3 * time.Second) // ConfigApplyMs is 2000
	ids := []string{"digest-0", "digest-1", "digest-2"}
	var callers sync.WaitGroup
	var term time.Time
	for _, id := range ids {
		callers.Add(1)
		go func() {
			defer callers.Done()
			got := f.send(r, id, "POST", "/stream/digest/1", []byte("{}"), 12*time.Second)
			at := time.Since(term).Seconds()
			if !got.complete && at < after*5.0/6 {
				f.breaks("LOST: %s had been passed on and was cut %.1f s after SIGTERM; GraceS is %d", id, at, after)
			}
		}()
	}
	for _, id := range ids {
		e.await("sent "+id+" piece 1 ", 5*time.Second)
	}
	term = time.Now()
	r.signal(syscall.SIGTERM)
	callers.Wait()
	return f.end()
}

// playDrill: an entry is removed, and the store is restored from a copy that still has it.
func playDrill(at place) int {
	f := newFleet(at, routes(1, "key-1"))
	const events = 40
	leaves := f.newEndpoint("model-0", "goldcrest-pool", "akl-a", behaviour{Events: events, Interval: 100 * time.Millisecond})
	f.newEndpoint("model-1", "goldcrest-pool", "akl-b", behaviour{Events: events, Interval: 100 * time.Millisecond})
	r := f.newRouter("edge-1", "akl-a")
	pause(1500 * time.Millisecond)
	// The server leaves. It never reports draining, serves on for some seconds and exits.
	leaves.signal(syscall.SIGUSR1)
	gone := time.Now()
	f.unlist(leaves)
	waitUntil(gone.Add(2 * time.Second))
	if f.trouble {
		f.note("drill: the store is away for 0.3 s and comes back from a copy 2.5 s old; the entry is removed again after three check-in intervals of silence")
		go f.store.Restore(standin.RestoreDrill{Back: 2500 * time.Millisecond, Outage: 300 * time.Millisecond, Rewrite: 3600 * time.Millisecond})
	}
	// The store is back at 2.3 s and has been stable for StableWindowMs at 5.3 s.
	waitUntil(gone.Add(5400 * time.Millisecond))
	var callers sync.WaitGroup
	for i := range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			id := fmt.Sprint("digest-", i)
			sent := time.Since(gone)
			got := f.send(r, id, "POST", "/stream/digest/1", []byte("{}"), 12*time.Second)
			if leaves.has("runs " + id + ",") {
				f.breaks("DRAIN: %s, sent %.1f s after the entry of %s was removed, reached it; DrainMs is 2000; answered whole: %v", id, sent.Seconds(), leaves.id, got.complete)
			}
		}()
	}
	waitUntil(gone.Add(8 * time.Second))
	leaves.kill()
	callers.Wait()
	return f.end()
}

// playTorn: a server crashes in the middle of an event with a long line, and the stream is resumed
// at another one.
func playTorn(at place) int {
	f := newFleet(at, routes(1, "key-1"))
	const events, long = 8, 3
	var servers []*endpoint
	for i := range 4 {
		servers = append(servers, f.newEndpoint(fmt.Sprint("model-", i), "goldcrest-pool", []string{"akl-a", "akl-b", "akl-c"}[i%3],
			behaviour{Events: events, Interval: 200 * time.Millisecond, Long: long}))
	}
	r := f.newRouter("edge-1", "akl-a")
	done := make(chan reply)
	go func() { done <- f.send(r, "draft-0", "POST", "/stream/draft/1", []byte("{}"), 10*time.Second) }()
	if f.trouble {
		f.awaitAny(servers, fmt.Sprintf("sent draft-0 a part of piece %d", long+1), 5*time.Second).kill()
	}
	got := <-done
	want := strings.Replace(whole(events, true), piece(long, true), longPiece(long), 1)
	if got.status == 200 && got.complete && got.body != want {
		f.note("the caller got %q", strings.ReplaceAll(got.body, strings.Repeat("x", 100), ""))
		f.breaks("ORDER: the stream ends as complete with %d of %d bytes; it has %d of %d events", len(got.body), len(want), strings.Count(got.body, "\n\n"), events)
	}
	return f.end()
}

// playParts: a part of long prompts crashes each server that begins to answer, while sound requests
// run there.
func playParts(at place) int {
	f := newFleet(at, routes(1, "key-1"))
	const (
		deadly   = "dead"
		before   = 17 // parts before the deadly one, which sound requests share
		length   = 40 * time.Second
		window   = 3 * time.Second // StableWindowMs
		downTime = 2 * time.Second
	)
	var shared []string
	for i := range before {
		shared = append(shared, fmt.Sprintf("%x:60", 0xa00+i))
	}
	b := behaviour{Events: 20, Interval: 50 * time.Millisecond}
	if f.trouble {
		b.Deadly = deadly
	}
	var servers []*endpoint
	for i := range 6 {
		servers = append(servers, f.newEndpoint(fmt.Sprint("model-", i), "goldcrest-pool", []string{"akl-a", "akl-b", "akl-c"}[i%3], b))
	}
	routers := []*router{f.newRouter("edge-1", "akl-a"), f.newRouter("edge-2", "akl-b")}
	ctx, stop := context.WithTimeout(context.Background(), length)
	defer stop()
	var callers sync.WaitGroup
	var cut atomic.Int64    // sound requests without a whole answer, sent while the rule binds
	var bounded atomic.Bool // the fifth crash is more than the window ago
	call := func(kind string, n int, parts []string) {
		callers.Add(1)
		go func() {
			defer callers.Done()
			id := fmt.Sprintf("%s-%d", kind, n)
			prompt := strings.Join(append(slices.Clone(parts), fmt.Sprintf("%x:20", 0xf0000+n)), ",")
			got := f.sendPrompt(routers[n%len(routers)], id, "POST", "/stream/digest/1", prompt, []byte("{}"), 12*time.Second)
			if kind == "sound" && bounded.Load() && (!got.complete || got.status == 502) {
				cut.Add(1)
			}
		}()
	}
	// Sound requests ten times a second, deadly ones each 0.8 s from the third second on.
	sound, bad := time.NewTicker(100*time.Millisecond), time.NewTicker(800*time.Millisecond)
	defer sound.Stop()
	defer bad.Stop()
	var crashes []time.Time
	late, restarts := 0, make(chan *endpoint, 64)
	watch := time.NewTicker(10 * time.Millisecond)
	defer watch.Stop()
	down := map[*endpoint]bool{}
	begin := time.Now()
	for n := 0; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
		case <-sound.C:
			n++
			call("sound", n, shared)
		case <-bad.C:
			if time.Since(begin) > 3*time.Second {
				n++
				call("deadly", n, append(slices.Clone(shared), deadly+":60"))
			}
		case e := <-restarts:
			f.launch(e)
			f.list(e, "ready")
			delete(down, e)
		case <-watch.C:
			bounded.Store(len(crashes) >= 5 && time.Since(crashes[4]) > window)
			for _, e := range servers {
				if !e.ended() || down[e] {
					continue
				}
				if bounded.Load() {
					late++
				}
				crashes = append(crashes, time.Now())
				down[e] = true
				time.AfterFunc(downTime, func() { restarts <- e })
			}
		}
	}
	callers.Wait()
	f.note("%d crashes, %d of them later than %v after the fifth; %d sound requests of that time were cut or failed", len(crashes), late, window, cut.Load())
	if late > 3 {
		f.breaks("BUDGET: %d requests with the part that crashes servers reached servers later than %v after the fifth crash; %d sound requests of that time were cut or failed", late, window, cut.Load())
	}
	return f.end()
}

// awaitAny waits until one of the endpoints writes a line and returns that endpoint.
func (f *fleet) awaitAny(list []*endpoint, line string, limit time.Duration) *endpoint {
	for end := time.Now().Add(limit); time.Now().Before(end); pause(2 * time.Millisecond) {
		for _, e := range list {
			if e.has(line) {
				return e
			}
		}
	}
	cannotRun("no endpoint says %q within %v", line, limit)
	return nil
}

func waitUntil(t time.Time) { pause(time.Until(t)) }
