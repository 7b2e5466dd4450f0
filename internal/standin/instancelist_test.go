package standin

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Guards against changes that are visible before the list's lag has passed and
// against an instance that keeps flapping after the fault is cleared.
func TestListLagsAndFlaps(t *testing.T) {
	withVirtualTime(t, func(ctx context.Context, is *is.I) {
		l := NewInstanceList()
		go l.Run(ctx)
		status := func(since int64, wait time.Duration) (instances.Status, int64) {
			ch, err := l.Since(ctx, since, wait)
			is.NoErr(err)
			if len(ch.Instances) == 0 {
				return "", ch.Seq
			}
			return ch.Instances[0].Status, ch.Seq
		}
		is.NoErr(l.SetFaults(ctx, InstanceListFaults{LagMS: 3000}))
		is.NoErr(l.Put(ctx, instances.Instance{ID: "a", Status: instances.Live}))
		st, _ := status(0, 2*time.Second)
		is.Equal(st, instances.Status(""))
		st, seq := status(0, 2*time.Second)
		is.Equal(st, instances.Live)

		is.NoErr(l.SetFaults(ctx, InstanceListFaults{Flap: map[model.InstanceID]int64{"a": 1000}}))
		for _, want := range []instances.Status{instances.Gone, instances.Live, instances.Gone} {
			st, seq = status(seq, 5*time.Second)
			is.Equal(st, want)
		}
		is.NoErr(l.SetFaults(ctx, InstanceListFaults{}))
		st, seq = status(seq, time.Second)
		is.Equal(st, instances.Live)
		st, _ = status(seq, time.Minute)
		is.Equal(st, instances.Status(""))
	})
}
