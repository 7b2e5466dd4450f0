package config_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// listsOf returns lists with n workspaces.
func listsOf(n int) *lists.Lists {
	l := lists.New()
	l.Plans["gold"] = lists.Plan{Priority: 1, Rate: 1, Burst: 1}
	l.DataCentres["akl-1"] = lists.DataCentre{Region: "akl", State: lists.DataCentreIn}
	for i := range n {
		l.Workspaces[model.Workspace(fmt.Sprintf("ws-%05d", i))] = lists.Workspace{Plan: "gold", KeyHash: fmt.Sprintf("hash-%05d", i)}
	}
	return l
}

func change(t testing.TB, id string, base int64, kind lists.Kind, name string, value any) config.Record {
	t.Helper()
	c, err := lists.NewChange(kind, name, value)
	if err != nil {
		t.Fatal(err)
	}
	return config.Record{ID: id, Base: base, Changes: []lists.Change{c}}
}

func batch(first int64, from int64, recs ...config.Record) config.Batch {
	b := config.Batch{First: first}
	for i, r := range recs {
		b.Entries = append(b.Entries, config.LogEntry{Offset: from + int64(i), Record: r, At: time.Unix(from, 0)})
	}
	return b
}

// Guards against two accepted records on one base, and against an accepted record
// whose result fails the checks of the lists.
func TestStaleAndInvalidRecordsAreSkipped(t *testing.T) {
	is := is.New(t)
	f := config.NewFollower()
	skipped, changed := f.ApplyLog(batch(0, 0,
		config.Record{ID: "a", Base: config.NoBase, Snapshot: listsOf(1)},
		change(t, "b", 0, lists.KindWorkspace, "one", lists.Workspace{Plan: "gold", KeyHash: "h1"}),
		change(t, "c", 0, lists.KindWorkspace, "two", lists.Workspace{Plan: "gold", KeyHash: "h2"}),
		change(t, "d", 1, lists.KindWorkspace, "bad", lists.Workspace{Plan: "none", KeyHash: "h3"}),
		change(t, "e", 1, lists.KindWorkspace, "twin", lists.Workspace{Plan: "gold", KeyHash: "h1"}),
	))
	is.True(changed)
	is.Equal(f.Accepted.ID, "b")
	is.Equal(len(skipped), 2)
	is.Equal(skipped[0].Offset, int64(3))
	is.Equal(f.Skipped, int64(2))
}

// Guards against a start from a snapshot that is stale because another record on
// the same base was accepted before it.
func TestUnprovenSnapshotIsNotUsed(t *testing.T) {
	is := is.New(t)
	// Records 0 to 4 are trimmed. The snapshot at 5 is based on 2, so a record
	// at 3 or 4 may have been accepted before it.
	f := config.NewFollower()
	_, changed := f.ApplyLog(batch(5, 5, config.Record{ID: "s", Base: 2, Snapshot: listsOf(1)}))
	is.True(!changed)
	is.True(f.AwaitingSnapshot())
	// A later record based on 5 proves it.
	_, changed = f.ApplyLog(batch(5, 6, change(t, "n", 5, lists.KindDataCentre, "akl-1", lists.DataCentre{Region: "akl", State: lists.DataCentreOut})))
	is.True(changed)
	is.Equal(f.Accepted.Offset, int64(6))
	is.Equal(f.Accepted.Lists.DataCentres["akl-1"].State, lists.DataCentreOut)

	// All records since the base are retained, and none of them precedes the
	// snapshot on the same base.
	f = config.NewFollower()
	_, changed = f.ApplyLog(batch(5, 5, change(t, "lost", 3, lists.KindPlan, "x", lists.Plan{}), config.Record{ID: "s", Base: 4, Snapshot: listsOf(1)}))
	is.True(changed)
	is.Equal(f.Accepted.ID, "s")

	// The same, but another record on the same base precedes it.
	f = config.NewFollower()
	_, changed = f.ApplyLog(batch(5, 5, change(t, "won", 4, lists.KindPlan, "x", lists.Plan{}), config.Record{ID: "s", Base: 4, Snapshot: listsOf(1)}))
	is.True(!changed)
}

// Guards against a process that continues as if nothing were missing after the
// log has trimmed records that it had not read.
func TestTrimmedRecordsAreDetected(t *testing.T) {
	is := is.New(t)
	f := config.NewFollower()
	f.ApplyLog(batch(0, 0, config.Record{ID: "a", Base: config.NoBase, Snapshot: listsOf(1)}))
	_, changed := f.ApplyLog(batch(3, 3, change(t, "z", 0, lists.KindPlan, "x", lists.Plan{})))
	is.True(!changed)
	is.True(f.AwaitingSnapshot())
	is.Equal(f.Accepted.ID, "a") // stays in force until then
	_, changed = f.ApplyLog(batch(3, 4, config.Record{ID: "s", Base: 2, Snapshot: listsOf(2)}, change(t, "y", 4, lists.KindPlan, "y", lists.Plan{})))
	is.True(changed)
	is.Equal(f.Accepted.ID, "y")
}

// followerOf returns a follower with n workspaces.
func followerOf(t testing.TB, n int) *config.Follower {
	f := config.NewFollower()
	f.ApplyLog(batch(0, 0, config.Record{ID: "a", Base: config.NoBase, Snapshot: listsOf(n)}))
	return f
}

// Guards against a load in pages that ends with other workspaces than the peer
// has. Changes arrive during the load, and some pages are from a peer that lags.
func TestLoadInPagesWhileChangesArrive(t *testing.T) {
	is := is.New(t)
	ahead, behind, f := followerOf(t, 1000), followerOf(t, 1000), config.NewFollower()
	offset := int64(0)
	for step := 0; step < 50; step++ {
		offset++
		name := fmt.Sprintf("ws-%05d", step*37%1000)
		c := change(t, fmt.Sprint("c", offset), offset-1, lists.KindWorkspace, name, lists.Workspace{Plan: "gold", KeyHash: fmt.Sprint("new-", offset)})
		if step%3 == 0 {
			c.Changes[0].Value = nil
		}
		ahead.ApplyLog(batch(0, offset, c))
		if step%2 == 0 {
			f.ApplyPeer(f.View().NextRequest(), ahead.View().Answer(f.View().NextRequest()))
		}
		f.ApplyPeer(f.View().NextRequest(), behind.View().Answer(f.View().NextRequest()))
		if step%5 == 0 {
			behind.ApplyPeer(behind.View().NextRequest(), ahead.View().Answer(behind.View().NextRequest()))
		}
	}
	f.ApplyPeer(f.View().NextRequest(), ahead.View().Answer(f.View().NextRequest()))
	is.Equal(f.Accepted.Offset, ahead.Accepted.Offset)
	is.True(!f.Accepted.Loading)
	is.Equal(f.Accepted.Lists, ahead.Accepted.Lists)
}

// Guards against a panic on malformed data, and against an accepted record
// without an id.
func FuzzDecode(f *testing.F) {
	rec := config.Record{ID: "a", Base: config.NoBase, Snapshot: listsOf(200)}
	packed, err := rec.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Add([]byte(`{"id":"b","base":3,"changes":[{"kind":"plan","name":"x","value":{"rate":1}}]}`))
	f.Add([]byte{0x1f, 0x8b, 8, 0})
	f.Add([]byte(`{"id":"b","snapshot":{"plans":null}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		rec, err := config.Decode(data)
		if err != nil {
			return
		}
		if rec.ID == "" {
			t.Fatal("accepted a record without id")
		}
		next, err := config.Empty().Next(0, rec)
		if err == nil {
			if _, err := json.Marshal(next.Lists); err != nil {
				t.Fatal(err)
			}
		}
	})
}
