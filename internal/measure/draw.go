package measure

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// poisson draws from a Poisson distribution. The scenarios use means below a
// few hundred, where the product method is exact and fast enough.
func poisson(rng *rand.Rand, mean float64) int64 {
	limit, n, p := math.Exp(-mean), int64(0), rng.Float64()
	for p > limit {
		n++
		p *= rng.Float64()
	}
	return n
}

// binomial draws the number of successes of n trials. It skips from success to
// success, so its cost grows only with n*p.
func binomial(rng *rand.Rand, n int64, p float64) int64 {
	if p <= 0 || n == 0 {
		return 0
	}
	var k int64
	step := math.Log1p(-min(p, 1-1e-12))
	for i := int64(math.Log(1-rng.Float64()) / step); i < n; i += 1 + int64(math.Log(1-rng.Float64())/step) {
		k++
	}
	return k
}

// sortedKeys returns the keys of m in order, so that draws do not depend on the
// iteration order of the map.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// roundUp rounds v up to a multiple of step. It hides the small differences in
// the times of real pipelines that depend on goroutine scheduling.
func roundUp(v, step float64) float64 { return math.Ceil(v/step-1e-9) * step }
