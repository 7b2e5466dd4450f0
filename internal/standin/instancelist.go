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

// InstanceList is a stand-in for the platform's instance list. It implements
// instances.List.
type InstanceList struct {
	loop *control.Loop[listState, listSnapshot]
}

// InstanceListFaults are the faults that can be injected into the instance list.
type InstanceListFaults struct {
	Down  bool                       `json:"down"`   // every read fails
	LagMS int64                      `json:"lag_ms"` // time until a change becomes visible, in milliseconds
	Flap  map[model.InstanceID]int64 `json:"flap"`   // instances that alternate between gone and live, by period in milliseconds
}

type listState struct {
	seq            int64
	items          map[model.InstanceID]listEntry
	pendingChanges []pendingChange // in the order of the calls to Put
	faults         InstanceListFaults
	flapStates     map[model.InstanceID]flapState
	pendingReads   []listRead
}

// pendingChange is a change that is not visible yet.
type pendingChange struct {
	instance instances.Instance
	due      time.Time
}

// flapState is the state of a flapping instance.
type flapState struct {
	gone       bool
	nextChange time.Time
}

type listSnapshot struct{ faults InstanceListFaults }

// listEntry is an instance with the sequence number of its last change.
type listEntry struct {
	instances.Instance
	seq int64
}

type (
	listPut struct {
		control.Question[bool]
		instance instances.Instance
	}
	listRead struct {
		control.Deferred[listReadResult]
		since int64
		until time.Time
	}
	listReadResult struct {
		changes instances.Changes
		err     error
	}
	setListFaults struct {
		control.Question[bool]
		faults InstanceListFaults
	}
)

func (listPut) EventName() string       { return "list_put" }
func (listRead) EventName() string      { return "list_read" }
func (setListFaults) EventName() string { return "list_faults_set" }

// NewInstanceList returns an empty list. It answers only while Run is running.
func NewInstanceList() *InstanceList {
	return &InstanceList{loop: control.New(control.Config[listState, listSnapshot]{
		State:   &listState{items: map[model.InstanceID]listEntry{}, flapStates: map[model.InstanceID]flapState{}},
		Stages:  []control.Stage[listState]{listFaultStage{}, listPuts{}, listFlaps{}, listReads{}},
		Publish: func(s *listState, _ time.Time) *listSnapshot { return &listSnapshot{s.faults} },
		Tick:    logTick,
	})}
}

// Run serves the list until ctx ends.
func (l *InstanceList) Run(ctx context.Context) { l.loop.Run(ctx) }

// Put adds or replaces an instance. Status Leaving announces that it will be
// removed, status Gone that it has been removed.
func (l *InstanceList) Put(ctx context.Context, in instances.Instance) error {
	_, err := control.Ask(ctx, l.loop, listPut{Question: control.NewQuestion[bool](), instance: in})
	return err
}

// Faults returns the active faults.
func (l *InstanceList) Faults() InstanceListFaults { return l.loop.Snapshot().faults }

// SetFaults replaces the active faults. An instance that no longer flaps turns
// live again.
func (l *InstanceList) SetFaults(ctx context.Context, f InstanceListFaults) error {
	_, err := control.Ask(ctx, l.loop, setListFaults{Question: control.NewQuestion[bool](), faults: f})
	return err
}

// Since implements instances.List.
func (l *InstanceList) Since(ctx context.Context, seq int64, wait time.Duration) (instances.Changes, error) {
	a, err := control.Ask(ctx, l.loop, listRead{Deferred: control.NewDeferred[listReadResult](), since: seq, until: time.Now().Add(wait)})
	if err != nil {
		return instances.Changes{}, err
	}
	return a.changes, a.err
}

// listFaultStage is the stage that sets the active faults.
type listFaultStage struct{}

func (listFaultStage) Name() string { return "list_faults" }

func (listFaultStage) Apply(s *listState, _ time.Time, ev control.Event) bool {
	f, ok := ev.(setListFaults)
	if ok {
		s.faults = f.faults
	}
	return ok
}

// listPuts is the stage that queues changes and makes them visible when they are
// due.
type listPuts struct{}

func (listPuts) Name() string { return "list_puts" }

func (listPuts) Apply(s *listState, now time.Time, ev control.Event) bool {
	if p, ok := ev.(listPut); ok {
		due := now.Add(time.Duration(s.faults.LagMS) * time.Millisecond)
		s.pendingChanges = append(s.pendingChanges, pendingChange{p.instance, due})
	}
	kept := s.pendingChanges[:0]
	for _, p := range s.pendingChanges {
		if now.Before(p.due) {
			kept = append(kept, p)
			continue
		}
		s.makeVisible(p.instance)
	}
	s.pendingChanges = kept
	return false
}

// makeVisible stores an instance under the next sequence number.
func (s *listState) makeVisible(in instances.Instance) {
	s.seq++
	s.items[in.ID] = listEntry{in, s.seq}
}

// listFlaps is the stage that alternates the status of flapping instances.
type listFlaps struct{}

func (listFlaps) Name() string { return "list_flaps" }

func (listFlaps) Apply(s *listState, now time.Time, _ control.Event) bool {
	for _, id := range slices.Sorted(maps.Keys(s.faults.Flap)) {
		period := time.Duration(s.faults.Flap[id]) * time.Millisecond
		f, known := s.flapStates[id]
		it, listed := s.items[id]
		if !listed || period <= 0 || known && now.Before(f.nextChange) {
			continue
		}
		f.gone, f.nextChange = !f.gone, now.Add(period)
		s.flapStates[id] = f
		it.Status = instances.Live
		if f.gone {
			it.Status = instances.Gone
		}
		s.makeVisible(it.Instance)
	}
	for id, f := range s.flapStates {
		if _, flapping := s.faults.Flap[id]; flapping {
			continue
		}
		if it := s.items[id]; f.gone {
			it.Status = instances.Live
			s.makeVisible(it.Instance)
		}
		delete(s.flapStates, id)
	}
	return false
}

// listReads is the stage that answers reads when there are changes or their wait
// is over.
type listReads struct{}

func (listReads) Name() string { return "list_reads" }

func (listReads) Apply(s *listState, now time.Time, ev control.Event) bool {
	if r, ok := ev.(listRead); ok {
		s.pendingReads = append(s.pendingReads, r)
	}
	kept := s.pendingReads[:0]
	for _, r := range s.pendingReads {
		switch {
		case s.faults.Down:
			r.Reply(listReadResult{err: ErrDown})
		case s.seq > r.since || !now.Before(r.until):
			r.Reply(listReadResult{changes: s.since(r.since)})
		default:
			kept = append(kept, r)
		}
	}
	clear(s.pendingReads[len(kept):])
	s.pendingReads = kept
	return false
}

// since returns the instances that changed after sequence number seq.
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

// Handler returns a handler of the list's HTTP interface.
func (l *InstanceList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
		wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
		ch, err := l.Since(r.Context(), since, time.Duration(wait)*time.Millisecond)
		writeResponse(w, ch, err)
	})
	mux.HandleFunc("PUT /instances", func(w http.ResponseWriter, r *http.Request) {
		var in instances.Instance
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeResponse(w, struct{}{}, l.Put(r.Context(), in))
	})
	serveFaults(mux, l.Faults, l.SetFaults)
	return mux
}
