package standin

import (
	"cmp"
	"context"
	"encoding/json"
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
	loop *control.Loop[listState, struct{}]
}

type listState struct {
	seq     int64
	items   map[model.InstanceID]listed
	waiting []listRead
}

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
		control.Defer[instances.Changes]
		since int64
		until time.Time
	}
)

func (listPut) EventName() string  { return "list_put" }
func (listRead) EventName() string { return "list_read" }

// NewInstanceList returns an empty list. Run must run for it to answer.
func NewInstanceList() *InstanceList {
	return &InstanceList{loop: control.New(control.Config[listState, struct{}]{
		State:   &listState{items: map[model.InstanceID]listed{}},
		Stages:  []control.Stage[listState]{listPuts{}, listReads{}},
		Publish: func(*listState, time.Time) *struct{} { return &struct{}{} },
		Tick:    logTick,
	})}
}

// Run serves the list until ctx ends.
func (l *InstanceList) Run(ctx context.Context) { l.loop.Run(ctx) }

// Put adds or replaces an instance.
func (l *InstanceList) Put(ctx context.Context, in instances.Instance) error {
	_, err := control.Ask(ctx, l.loop, listPut{Question: control.NewQuestion[bool](), instance: in})
	return err
}

// Since implements instances.List.
func (l *InstanceList) Since(ctx context.Context, seq int64, wait time.Duration) (instances.Changes, error) {
	return control.Ask(ctx, l.loop, listRead{Defer: control.NewDeferred[instances.Changes](), since: seq, until: time.Now().Add(wait)})
}

// listPuts stores changes.
type listPuts struct{}

func (listPuts) Name() string { return "list_puts" }

func (listPuts) Apply(s *listState, _ time.Time, ev control.Event) bool {
	if p, ok := ev.(listPut); ok {
		s.seq++
		s.items[p.instance.ID] = listed{p.instance, s.seq}
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
		if s.seq > r.since || !now.Before(r.until) {
			r.Reply(s.since(r.since))
			continue
		}
		kept = append(kept, r)
	}
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
	return mux
}
