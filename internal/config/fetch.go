package config

import (
	"maps"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Want tells what a process asks of a peer.
type Want int

// What may be asked of a peer.
const (
	WantChanges Want = iota // accepted records after From, or the state if they do not reach back
	WantPage                // the same, and the next workspaces after After
	WantKey                 // the same, and the workspace that holds KeyHash
)

// FetchRequest asks a peer for configuration.
type FetchRequest struct {
	Want    Want
	From    int64           // accepted offset of the asker
	After   model.Workspace // last workspace of the page before
	KeyHash string
}

// FetchReply is the answer of a peer.
type FetchReply struct {
	Offset     int64      // accepted offset of the peer
	ID         string     // of the record at Offset
	SnapshotAt time.Time  // as in Follower
	Entries    []LogEntry // accepted records after From
	Core       *lists.Lists
	Page       []NamedWorkspace // workspaces in the order of their names
	Last       bool             // Page reaches the last workspace
}

// NamedWorkspace is a workspace with its name.
type NamedWorkspace struct {
	Name model.Workspace `json:"n"`
	lists.Workspace
}

// pageLen is the number of workspaces in one page, about 8 KB compressed, so
// that a page passes within a second of an 11 KB/s budget.
const pageLen = 160

// View is the immutable part of a Follower that answers peers.
type View struct {
	Accepted   *Accepted
	SnapshotAt time.Time
	history    history
	next       FetchRequest
	older      bool // gives its state to a peer that is ahead; only in tests that remove Monotone
}

// View returns the present view.
func (f *Follower) View() View {
	return View{f.Accepted, f.SnapshotAt, f.history, f.nextRequest(), f.without == Monotone}
}

// NextRequest returns the request that brings the process forward.
func (v View) NextRequest() FetchRequest { return v.next }

// Successor returns the record that was accepted on base, as far as the last
// accepted records reach back.
func (v View) Successor(base int64) (LogEntry, bool) {
	entries, ok := v.history.since(base)
	if !ok {
		return LogEntry{}, false
	}
	return entries[0], true
}

// Answer answers a peer. A process that is loading answers only with records,
// since it has no whole state to give.
func (v View) Answer(req FetchRequest) FetchReply {
	r := FetchReply{Offset: v.Accepted.Offset, ID: v.Accepted.ID, SnapshotAt: v.SnapshotAt}
	if entries, ok := v.history.since(req.From); ok {
		r.Entries = entries
	}
	if v.Accepted.Loading || v.Accepted.Offset == NoBase {
		return r
	}
	if (req.From < v.Accepted.Offset || v.older && req.From > v.Accepted.Offset) && (r.Entries == nil || tooMany(r.Entries)) {
		r.Entries, r.Core = nil, v.core()
		req.Want, req.After = WantPage, ""
	}
	switch req.Want {
	case WantPage:
		r.Page, r.Last = v.page(req.After)
	case WantKey:
		r.Page = v.holder(req.KeyHash)
	}
	return r
}

// maxChanges is the number of changes from which a peer sends the state in
// pages instead, so that one answer stays small.
const maxChanges = 400

func tooMany(entries []LogEntry) bool {
	n := 0
	for _, e := range entries {
		n += len(e.Record.Changes)
	}
	return n > maxChanges
}

// core returns the accepted lists without their workspaces.
func (v View) core() *lists.Lists {
	core := *v.Accepted.Lists
	core.Workspaces = nil
	return &core
}

func (v View) page(after model.Workspace) (page []NamedWorkspace, last bool) {
	all := v.Accepted.Lists.Workspaces
	names := slices.Sorted(maps.Keys(all))
	i, found := slices.BinarySearch(names, after)
	if found {
		i++
	}
	end := min(len(names), i+pageLen)
	for _, n := range names[i:end] {
		page = append(page, NamedWorkspace{n, all[n]})
	}
	return page, end == len(names)
}

func (v View) holder(hash string) []NamedWorkspace {
	for name, w := range v.Accepted.Lists.Workspaces {
		if w.KeyHash == hash {
			return []NamedWorkspace{{name, w}}
		}
	}
	return nil
}
