package config

import (
	"maps"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Want selects what a process fetches from a peer.
type Want int

// What can be fetched from a peer.
const (
	WantChanges Want = iota // accepted records after From, or the state if the kept records do not reach back to From
	WantPage                // the same, and the next page of workspaces after After
	WantKey                 // the same, and the workspace of the API key with KeyHash
)

// FetchRequest is a request to a peer for configuration.
type FetchRequest struct {
	Want    Want
	From    int64           // accepted offset of the sender
	After   model.Workspace // last workspace of the previous page
	KeyHash string
}

// FetchReply is the reply of a peer to a FetchRequest.
type FetchReply struct {
	Offset     int64            // accepted offset of the peer
	ID         string           // of the record at Offset
	SnapshotAt time.Time        // as in Follower
	Entries    []LogEntry       // accepted records after From
	Core       *lists.Lists     // accepted lists without workspaces; nil unless the state is sent
	Page       []NamedWorkspace // workspaces in the order of their names
	Last       bool             // Page reaches the last workspace
}

// NamedWorkspace is a workspace with its name.
type NamedWorkspace struct {
	Name model.Workspace `json:"n"`
	lists.Workspace
}

// pageLen is the number of workspaces in one page. A page takes about 8 KB
// compressed, less than a second of an 11 KB/s budget.
const pageLen = 160

// View is an immutable copy of a Follower's state, from which traffic and peers
// are answered.
type View struct {
	Accepted         *Accepted
	SnapshotAt       time.Time
	history          history
	next             FetchRequest
	servesOlderState bool // sends the state to peers with a newer one; only in tests that disable Monotone
}

// View returns the current view.
func (f *Follower) View() View {
	return View{f.Accepted, f.SnapshotAt, f.history, f.nextRequest(), f.disabled == Monotone}
}

// NextRequest returns the request for what the process needs next.
func (v View) NextRequest() FetchRequest { return v.next }

// Successor returns the record that was accepted on base, or false if the
// history does not reach back to it.
func (v View) Successor(base int64) (LogEntry, bool) {
	entries, ok := v.history.since(base)
	if !ok {
		return LogEntry{}, false
	}
	return entries[0], true
}

// Answer returns the reply to a peer's request. A process whose workspaces are
// still loading sends only records, since its state is not complete.
func (v View) Answer(req FetchRequest) FetchReply {
	r := FetchReply{Offset: v.Accepted.Offset, ID: v.Accepted.ID, SnapshotAt: v.SnapshotAt}
	if entries, ok := v.history.since(req.From); ok {
		r.Entries = entries
	}
	if v.Accepted.Loading || v.Accepted.Offset == NoBase {
		return r
	}
	if (req.From < v.Accepted.Offset || v.servesOlderState && req.From > v.Accepted.Offset) && (r.Entries == nil || exceedsMaxChanges(r.Entries)) {
		r.Entries, r.Core = nil, v.core()
		req.Want, req.After = WantPage, ""
	}
	switch req.Want {
	case WantPage:
		r.Page, r.Last = v.page(req.After)
	case WantKey:
		r.Page = v.workspaceByKey(req.KeyHash)
	}
	return r
}

// maxChanges is the number of changes above which a peer sends the state in
// pages instead, so that one reply stays small.
const maxChanges = 400

func exceedsMaxChanges(entries []LogEntry) bool {
	n := 0
	for _, e := range entries {
		n += len(e.Record.Changes)
	}
	return n > maxChanges
}

// core returns the accepted lists without workspaces.
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

func (v View) workspaceByKey(hash string) []NamedWorkspace {
	for name, w := range v.Accepted.Lists.Workspaces {
		if w.KeyHash == hash {
			return []NamedWorkspace{{name, w}}
		}
	}
	return nil
}
