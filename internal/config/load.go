package config

import (
	"maps"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// load is the progress of loading the workspaces from peers page by page.
type load struct {
	after   model.Workspace           // last workspace of the last page
	changed map[model.Workspace]int64 // offset of the last change during the load
}

// nextRequest returns the request for what the process needs next.
func (f *Follower) nextRequest() FetchRequest {
	req := FetchRequest{From: f.Accepted.Offset}
	if f.load != nil {
		req.Want, req.After = WantPage, f.load.after
	}
	return req
}

// ApplyPeer applies the reply of a peer to req. It reports whether the accepted
// configuration changed; the error is ErrNotNewer if the reply contains nothing
// new for this process.
func (f *Follower) ApplyPeer(req FetchRequest, r FetchReply) (changed bool, err error) {
	before := f.Accepted
	// If the log has trimmed records after the peer's state, that state is stale.
	// A process that starts must not use it, since it may have had a newer one
	// before its restart.
	if before.Offset == NoBase && r.Offset+1 < f.first && f.disabled != Monotone {
		return false, ErrNotNewer
	}
	for _, e := range r.Entries {
		if err := f.applyPeerEntry(e); err != nil {
			return f.Accepted != before, err
		}
	}
	if r.Core != nil && (r.Offset > f.Accepted.Offset || f.disabled == Monotone) {
		f.startLoad(r)
		req = FetchRequest{Want: WantPage}
	}
	if len(r.Entries) > 0 || f.Accepted != before {
		f.SnapshotAt = r.SnapshotAt
	}
	if f.load != nil && r.Offset <= f.Accepted.Offset {
		switch {
		case req.Want == WantPage && req.After == f.load.after && (len(r.Page) > 0 || r.Last):
			f.mergePage(req.After, r)
		case req.Want == WantKey:
			f.merge(r, nil)
		}
	}
	if f.load == nil {
		f.applyCollected()
	}
	if f.Accepted == before {
		return false, ErrNotNewer
	}
	return true, nil
}

func (f *Follower) applyPeerEntry(e LogEntry) error {
	if e.Offset <= f.Accepted.Offset {
		return nil
	}
	var next *Accepted
	var err error
	if f.load == nil {
		next, err = f.Accepted.Next(e.Offset, e.Record)
	} else if e.Record.Base != f.Accepted.Offset {
		err = ErrStale
	} else {
		next, err = f.Accepted.apply(e.Offset, e.Record, false)
		for _, c := range e.Record.Changes {
			if c.Kind == lists.KindWorkspace {
				f.load.changed[model.Workspace(c.Name)] = e.Offset
			}
		}
	}
	if err != nil {
		return err
	}
	f.acceptEntry(next, e)
	return nil
}

// startLoad puts the core of a peer's state in force. The workspaces known so
// far stay until the pages replace them.
func (f *Follower) startLoad(r FetchReply) {
	core := *r.Core
	core.Workspaces = f.Accepted.Lists.Workspaces
	f.setAccepted(&Accepted{Offset: r.Offset, ID: r.ID, Lists: &core, Loading: true})
	f.history.reset()
	f.proof = nil
	f.load = &load{changed: map[model.Workspace]int64{}}
}

// mergePage replaces the workspaces in the range of names that the page covers.
func (f *Follower) mergePage(after model.Workspace, r FetchReply) {
	last := after
	if n := len(r.Page); n > 0 {
		last = r.Page[n-1].Name
	}
	var replaced []model.Workspace
	for name := range f.Accepted.Lists.Workspaces {
		if name > after && (r.Last || name <= last) {
			replaced = append(replaced, name)
		}
	}
	f.merge(r, replaced)
	f.load.after = last
	if r.Last {
		done := *f.Accepted
		done.Loading = false
		f.setAccepted(&done)
		f.load = nil
		f.next = done.Offset + 1
	}
}

// merge removes the workspaces in replaced and adds those of the reply. A
// workspace that changed after the offset of the reply keeps its value.
func (f *Follower) merge(r FetchReply, replaced []model.Workspace) {
	l := *f.Accepted.Lists
	l.Workspaces = maps.Clone(l.Workspaces)
	if l.Workspaces == nil {
		l.Workspaces = map[model.Workspace]lists.Workspace{}
	}
	changedSince := func(name model.Workspace) bool { return f.load.changed[name] > r.Offset }
	for _, name := range replaced {
		if !changedSince(name) {
			delete(l.Workspaces, name)
		}
	}
	for _, w := range r.Page {
		if !changedSince(w.Name) {
			l.Workspaces[w.Name] = w.Workspace
		}
	}
	next := *f.Accepted
	next.Lists = &l
	f.setAccepted(&next)
}
