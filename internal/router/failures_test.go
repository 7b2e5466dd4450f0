package router

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/mesh"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// Guards against a property that counts at a crash although a request with it has been answered
// since: an endpoint did not answer, and the instance list shows only seconds later that it has
// ended.
func TestSoundAnswersEndPendingFailures(t *testing.T) {
	is := is.New(t)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	f := judgeCauses{broadcast: func(mesh.Message) {}, save: func([]suspect.Record) {}, report: func(suspect.Report) {}, log: log}
	list := applyList{expireLater: func(time.Duration) {}, log: log}
	s := newState(Settings{})
	now := time.Now()
	process := func(started int64) listRead {
		return listRead{list: place.NewList([]place.Endpoint{{ID: "a", Pool: "p", Started: started}})}
	}
	list.Apply(s, now, process(1))
	is.True(f.Apply(s, now, crashSeen{failure: suspect.Failure{Endpoint: "a", Started: 1, Causes: []uint64{1, 2}}}))
	is.True(publish(s, now).isOpen(1)) // so that sound answers are reported
	is.True(!publish(s, now).isOpen(3))
	now = now.Add(time.Second)
	is.True(f.Apply(s, now, causesSound{[]uint64{1}}))
	is.True(!publish(s, now).isOpen(1))
	now = now.Add(3 * time.Second)
	list.Apply(s, now, process(2))
	f.Apply(s, now, process(2))
	is.Equal(s.causes.Count(1), 0)
	is.Equal(s.causes.Count(2), 1)
	is.True(publish(s, now).isOpen(2)) // met at a crash
}

// Guards against a view of pending failures that is built anew for each of very many, or that
// keeps those that have expired.
func TestPendingFailuresAreViewedSeldom(t *testing.T) {
	is := is.New(t)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	f := judgeCauses{broadcast: func(mesh.Message) {}, save: func([]suspect.Record) {}, report: func(suspect.Report) {}, log: log}
	s := newState(Settings{})
	now := time.Now()
	changes := 0
	for i := range 100 {
		if f.Apply(s, now.Add(time.Duration(i)*time.Millisecond), crashSeen{failure: suspect.Failure{Endpoint: "a", Causes: []uint64{uint64(i)}}}) {
			changes++
		}
	}
	is.Equal(changes, 1)
	is.True(f.Apply(s, now.Add(pendingViewInterval), listRead{}))
	is.True(publish(s, now).isOpen(99))
	is.True(f.Apply(s, now.Add(time.Minute), listRead{}))
	is.True(!publish(s, now).isOpen(99))
}
