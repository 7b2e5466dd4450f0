package rollout

import (
	"math"
	"time"
)

const (
	// slowFactor is the ratio to the usual time above which a response is slow.
	slowFactor = 2.2
	// slowSlack is added to that, since short times vary with the scheduling of processes.
	slowSlack = 25 * time.Millisecond
	// baselineStep is by how much a sample moves the logarithm of the usual time.
	baselineStep = 0.05
	// baselineSamples is the number of samples without which no response is slow.
	baselineSamples = 15
)

// Baseline is the usual time of the old version on one route: an approximate median that
// follows changes of the load.
type Baseline struct {
	log     float64 // logarithm of the median in seconds
	samples int
}

// Add adds a sample of the old version.
func (b *Baseline) Add(d time.Duration) {
	l := math.Log(max(d, time.Microsecond).Seconds())
	switch {
	case b.samples == 0:
		b.log = l
	case l > b.log:
		b.log += baselineStep
	case l < b.log:
		b.log -= baselineStep
	}
	b.samples++
}

// Slow reports whether d is several times the usual time.
func (b *Baseline) Slow(d time.Duration) bool {
	return b.samples >= baselineSamples && d.Seconds() > slowFactor*math.Exp(b.log)+slowSlack.Seconds()
}
