package timing

import (
	"cmp"
	"maps"
	"slices"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// BusiestCount is the number of workspaces that have their own histogram. It bounds
	// the number of metrics of an entry.
	BusiestCount = 20
	// maxCounted is the maximum number of workspaces that are counted. The
	// space-saving algorithm reliably finds the busiest ones with ten times as many
	// counters.
	maxCounted = 10 * BusiestCount
)

// Counter finds the busiest workspaces in bounded memory with the space-saving
// algorithm by Metwally, Agrawal and El Abbadi.
type Counter struct {
	counts map[model.Workspace]float64
}

// NewCounter returns an empty counter.
func NewCounter() *Counter { return &Counter{counts: map[model.Workspace]float64{}} }

// Add counts one request of w.
func (c *Counter) Add(w model.Workspace) {
	if _, known := c.counts[w]; !known && len(c.counts) >= maxCounted {
		smallest := c.smallest()
		c.counts[w] = c.counts[smallest]
		delete(c.counts, smallest)
	}
	c.counts[w]++
}

func (c *Counter) smallest() model.Workspace {
	var out model.Workspace
	low := -1.0
	for w, n := range c.counts {
		if low < 0 || n < low || n == low && w < out {
			out, low = w, n
		}
	}
	return out
}

// Len returns the number of workspaces that are counted.
func (c *Counter) Len() int { return len(c.counts) }

// Decay halves the counts, so that inactive workspaces are replaced.
func (c *Counter) Decay() {
	for w := range c.counts {
		c.counts[w] /= 2
	}
}

// Top returns the busiest workspaces, at most BusiestCount.
func (c *Counter) Top() map[model.Workspace]bool {
	names := slices.SortedFunc(maps.Keys(c.counts), func(a, b model.Workspace) int {
		return cmp.Or(cmp.Compare(c.counts[b], c.counts[a]), cmp.Compare(a, b))
	})
	out := make(map[model.Workspace]bool, BusiestCount)
	for _, w := range names[:min(BusiestCount, len(names))] {
		out[w] = true
	}
	return out
}
