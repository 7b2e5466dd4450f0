package config_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// targetWorkspaces is the number of workspaces in steady use at the target size.
const targetWorkspaces = 16_000

// targetLists returns lists of the target size with incompressible key hashes.
func targetLists() *lists.Lists {
	l := listsOf(0)
	for i := range targetWorkspaces {
		sum := sha256.Sum256([]byte(fmt.Sprint("key-", i)))
		l.Workspaces[model.Workspace(fmt.Sprintf("workspace-%05d", i))] = lists.Workspace{Plan: "gold", KeyHash: hex.EncodeToString(sum[:])}
	}
	return l
}

// BenchmarkCapacityConfigChange measures one changed workspace at the target
// size: decode, apply and check.
func BenchmarkCapacityConfigChange(b *testing.B) {
	l := targetLists()
	f := config.NewFollower()
	f.ApplyLog(batch(0, 0, config.Record{ID: "first", Base: config.NoBase, Snapshot: l}))
	rec := change(b, "0123456789abcdef0123456789", 0, lists.KindWorkspace, "workspace-00007", l.Workspaces["workspace-00008"])
	rec.Changes[0].Name = "workspace-00008"
	data, err := rec.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "bytes/change")
	for b.Loop() {
		rec, err := config.Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := f.Accepted.Next(1, rec); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "bytes/change")
}

// BenchmarkCapacityConfigSnapshot measures the reading of one snapshot record.
func BenchmarkCapacityConfigSnapshot(b *testing.B) {
	rec := config.Record{ID: "s", Base: config.NoBase, Snapshot: targetLists()}
	raw, err := json.Marshal(rec)
	if err != nil {
		b.Fatal(err)
	}
	packed, err := rec.Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		got, err := config.Decode(packed)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := config.Empty().Next(0, got); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(raw)), "bytes-raw")
	b.ReportMetric(float64(len(packed)), "bytes-packed")
}

// BenchmarkCapacityConfigSnapshotWrite measures the encoding of one snapshot.
func BenchmarkCapacityConfigSnapshotWrite(b *testing.B) {
	rec := config.Record{ID: "s", Base: config.NoBase, Snapshot: targetLists()}
	for b.Loop() {
		if _, err := rec.Encode(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCapacityConfigPage measures how a peer answers a request for one page
// of a first load.
func BenchmarkCapacityConfigPage(b *testing.B) {
	f := config.NewFollower()
	f.ApplyLog(config.Batch{Entries: []config.LogEntry{{At: time.Unix(1, 0), Record: config.Record{ID: "a", Base: config.NoBase, Snapshot: targetLists()}}}})
	v := f.View()
	for b.Loop() {
		if r := v.Answer(config.FetchRequest{Want: config.WantPage, After: "workspace-08000"}); len(r.Page) == 0 {
			b.Fatal("no page")
		}
	}
}

// BenchmarkCapacityConfigMemory reports the memory that the accepted
// configuration and the index by key hash take at the target size.
func BenchmarkCapacityConfigMemory(b *testing.B) {
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	packed, err := config.Record{ID: "s", Base: config.NoBase, Snapshot: targetLists()}.Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		before := heap()
		rec, err := config.Decode(packed)
		if err != nil {
			b.Fatal(err)
		}
		lists := heap()
		keys := make(map[string]model.Workspace, targetWorkspaces)
		for name, w := range rec.Snapshot.Workspaces {
			keys[w.KeyHash] = name
		}
		index := heap()
		b.ReportMetric((lists-before)/1e6, "MB-lists")
		b.ReportMetric((index-lists)/1e6, "MB-index")
		runtime.KeepAlive(rec)
		runtime.KeepAlive(keys)
	}
}
