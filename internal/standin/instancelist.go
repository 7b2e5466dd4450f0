package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// InstanceList is a fake of the platform's instance list. It implements
// instances.List.
type InstanceList struct {
	loop *control.Loop[listState, listSnapshot]
}

// InstanceListFaults are the faults that can be switched on.
type InstanceListFaults struct {
	Down  bool                       `json:"down"`   // every read fails
	LagMS int64                      `json:"lag_ms"` // time until a change shows, in milliseconds
	Flap  map[model.InstanceID]int64 `json:"flap"`   // instances that turn gone and live again, each after so many milliseconds
}

type listState struct {
	seq     int64
	items   map[model.InstanceID]listed
	pending []pendingChange // in the order in which they were put
	faults  InstanceListFaults
	flapped map[model.InstanceID]flap
	waiting []listRead
}

// pendingChange is a change that does not show yet.
type pendingChange struct {
	instance instances.Instance
	due      time.Time
}

// flap is the state of an instance that flaps.
type flap struct {
	gone bool
	next time.Time
}

type listSnapshot struct{ faults InstanceListFaults }

type listed struct {
	instances.Instance
	seq int64
}

type (
	listPut struct {
		control.Question[bool]
		instance instances.Instance
	}
	listRead struct {
		control.Deferred[listAnswer]
		since int64
		until time.Time
	}
	listAnswer struct {
		changes instances.Changes
		err     error
	}
	listFaultsSet struct {
		control.Question[bool]
		faults InstanceListFaults
	}
)

func (listPut) EventName() string       { return "list_put" }
func (listRead) EventName() string      { return "list_read" }
func (listFaultsSet) EventName() string { return "list_faults_set" }

// NewInstanceList returns an empty list. Run must run for it to answer.
func NewInstanceList() *InstanceList {
	return &InstanceList{loop: control.New(control.Config[listState, listSnapshot]{
		State:   &listState{items: map[model.InstanceID]listed{}, flapped: map[model.InstanceID]flap{}},
		Stages:  []control.Stage[listState]{switchListFaults{}, listPuts{}, listFlaps{}, listReads{}},
		Publish: func(s *listState, _ time.Time) *listSnapshot { return &listSnapshot{s.faults} },
		Tick:    logTick,
	})}
}

// Run serves the list until ctx ends.
func (l *InstanceList) Run(ctx context.Context) { l.loop.Run(ctx) }

// Put adds or replaces an instance. Status Leaving and Gone announce its end.
func (l *InstanceList) Put(ctx context.Context, in instances.Instance) error {
	_, err := control.Ask(ctx, l.loop, listPut{Question: control.NewQuestion[bool](), instance: in})
	return err
}

// Faults returns the faults that are switched on.
func (l *InstanceList) Faults() InstanceListFaults { return l.loop.Snapshot().faults }

// SetFaults replaces the faults. Flapping instances that are no longer named
// turn live again.
func (l *InstanceList) SetFaults(ctx context.Context, f InstanceListFaults) error {
	_, err := control.Ask(ctx, l.loop, listFaultsSet{Question: control.NewQuestion[bool](), faults: f})
	return err
}

// Since implements instances.List.
func (l *InstanceList) Since(ctx context.Context, seq int64, wait time.Duration) (instances.Changes, error) {
	a, err := control.Ask(ctx, l.loop, listRead{Deferred: control.NewDeferred[listAnswer](), since: seq, until: time.Now().Add(wait)})
	if err != nil {
		return instances.Changes{}, err
	}
	return a.changes, a.err
}

// switchListFaults switches faults.
type switchListFaults struct{}

func (switchListFaults) Name() string { return "list_faults" }

func (switchListFaults) Apply(s *listState, _ time.Time, ev control.Event) bool {
	f, ok := ev.(listFaultsSet)
	if ok {
		s.faults = f.faults
	}
	return ok
}

// listPuts stores changes and shows them once they are due.
type listPuts struct{}

func (listPuts) Name() string { return "list_puts" }

func (listPuts) Apply(s *listState, now time.Time, ev control.Event) bool {
	if p, ok := ev.(listPut); ok {
		due := now.Add(time.Duration(s.faults.LagMS) * time.Millisecond)
		s.pending = append(s.pending, pendingChange{p.instance, due})
	}
	kept := s.pending[:0]
	for _, p := range s.pending {
		if now.Before(p.due) {
			kept = append(kept, p)
			continue
		}
		s.show(p.instance)
	}
	s.pending = kept
	return false
}

func (s *listState) show(in instances.Instance) {
	s.seq++
	s.items[in.ID] = listed{in, s.seq}
}

// listFlaps turns flapping instances gone and live again.
type listFlaps struct{}

func (listFlaps) Name() string { return "list_flaps" }

func (listFlaps) Apply(s *listState, now time.Time, _ control.Event) bool {
	for _, id := range slices.Sorted(maps.Keys(s.faults.Flap)) {
		period := time.Duration(s.faults.Flap[id]) * time.Millisecond
		f, known := s.flapped[id]
		it, listed := s.items[id]
		if !listed || period <= 0 || known && now.Before(f.next) {
			continue
		}
		f.gone, f.next = !f.gone, now.Add(period)
		s.flapped[id] = f
		it.Status = instances.Live
		if f.gone {
			it.Status = instances.Gone
		}
		s.show(it.Instance)
	}
	for id, f := range s.flapped {
		if _, still := s.faults.Flap[id]; still {
			continue
		}
		if it := s.items[id]; f.gone {
			it.Status = instances.Live
			s.show(it.Instance)
		}
		delete(s.flapped, id)
	}
	return false
}

// listReads answers reads that have changes or have waited long enough.
type listReads struct{}

func (listReads) Name() string { return "list_reads" }

func (listReads) Apply(s *listState, now time.Time, ev control.Event) bool {
	if r, ok := ev.(listRead); ok {
		s.waiting = append(s.waiting, r)
	}
	kept := s.waiting[:0]
	for _, r := range s.waiting {
		switch {
		case s.faults.Down:
			r.Reply(listAnswer{err: ErrDown})
		case s.seq > r.since || !now.Before(r.until):
			r.Reply(listAnswer{changes: s.since(r.since)})
		default:
			kept = append(kept, r)
		}
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	return false
}

func (s *listState) since(seq int64) instances.Changes {
	ch := instances.Changes{Seq: s.seq}
	for _, it := range s.items {
		if it.seq > seq {
			ch.Instances = append(ch.Instances, it.Instance)
		}
	}
	slices.SortFunc(ch.Instances, func(a, b instances.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return ch
}

// Handler serves the list's HTTP interface.
func (l *InstanceList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
		wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
		ch, err := l.Since(r.Context(), since, time.Duration(wait)*time.Millisecond)
		respond(w, ch, err)
	})
	mux.HandleFunc("PUT /instances", func(w http.ResponseWriter, r *http.Request) {
		var in instances.Instance
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		respond(w, struct{}{}, l.Put(r.Context(), in))
	})
	serveFaults(mux, l.Faults, l.SetFaults)
	return mux
}
