package config_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
)

// Guards against a reader that starts from the retained part of a trimmed log
// and reaches a state that readers of the complete log never accepted.
func TestAnyRetainedPartLeadsToTheAcceptedState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		full := config.NewFollower()
		var records []config.Record
		accepted := map[int64]string{}
		bases := []int64{config.NoBase}
		for i := range int64(rapid.IntRange(1, 40).Draw(rt, "records")) {
			rec := config.Record{ID: fmt.Sprint("r", i)}
			// Writers use an accepted offset as the base, often the newest.
			rec.Base = bases[max(0, len(bases)-1-rapid.IntRange(0, 2).Draw(rt, "lag"))]
			switch rapid.IntRange(0, 3).Draw(rt, "kind") {
			case 0:
				rec.Snapshot = full.Accepted.Lists
			case 1:
				rec.Changes = change(t, "", 0, lists.KindWorkspace, "w", lists.Workspace{Plan: "none", KeyHash: "h"}).Changes
			default:
				rec.Changes = change(t, "", 0, lists.KindPlan, fmt.Sprint("p", i), lists.Plan{}).Changes
			}
			records = append(records, rec)
			full.ApplyLog(batch(0, i, rec))
			if full.Accepted.Offset == i {
				accepted[i] = rec.ID
				bases = append(bases, i)
			}
		}
		first := int64(rapid.IntRange(0, len(records)-1).Draw(rt, "first"))
		partial := config.NewFollower()
		for at := first; at < int64(len(records)); at++ {
			partial.ApplyLog(batch(first, at, records[at]))
			if a := partial.Accepted; a.Offset != config.NoBase && accepted[a.Offset] != a.ID {
				rt.Fatalf("from offset %d the reader accepted %d, which no reader of the complete log did", first, a.Offset)
			}
		}
		if partial.Accepted.Offset != config.NoBase && partial.Accepted.Offset != full.Accepted.Offset {
			rt.Fatalf("the reader ended at %d, the others at %d", partial.Accepted.Offset, full.Accepted.Offset)
		}
	})
}
