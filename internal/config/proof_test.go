package config_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
)

// Guards against a reader that starts from any retained part of the log and
// reaches a state that readers of the whole log never accepted.
func TestAnyRetainedPartLeadsToTheAcceptedState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		whole := config.NewFollower()
		var records []config.Record
		chain := map[int64]string{}
		known := []int64{config.NoBase}
		for i := range int64(rapid.IntRange(1, 40).Draw(rt, "records")) {
			rec := config.Record{ID: fmt.Sprint("r", i)}
			// Writers name an accepted offset, often the newest.
			rec.Base = known[max(0, len(known)-1-rapid.IntRange(0, 2).Draw(rt, "lag"))]
			switch rapid.IntRange(0, 3).Draw(rt, "kind") {
			case 0:
				rec.Snapshot = whole.Accepted.Lists
			case 1:
				rec.Changes = change(t, "", 0, lists.KindWorkspace, "w", lists.Workspace{Plan: "none", KeyHash: "h"}).Changes
			default:
				rec.Changes = change(t, "", 0, lists.KindPlan, fmt.Sprint("p", i), lists.Plan{}).Changes
			}
			records = append(records, rec)
			whole.ApplyLog(batch(0, i, rec))
			if whole.Accepted.Offset == i {
				chain[i] = rec.ID
				known = append(known, i)
			}
		}
		first := int64(rapid.IntRange(0, len(records)-1).Draw(rt, "first"))
		late := config.NewFollower()
		for at := first; at < int64(len(records)); at++ {
			late.ApplyLog(batch(first, at, records[at]))
			if a := late.Accepted; a.Offset != config.NoBase && chain[a.Offset] != a.ID {
				rt.Fatalf("from offset %d the reader accepted %d, which no reader of the whole log did", first, a.Offset)
			}
		}
		if late.Accepted.Offset != config.NoBase && late.Accepted.Offset != whole.Accepted.Offset {
			rt.Fatalf("the reader ended at %d, the others at %d", late.Accepted.Offset, whole.Accepted.Offset)
		}
	})
}
