package rollout

import "math"

// The sequential test is a mixture of likelihood ratios. Under the hypothesis
// that the new version is not worse than the old one by more than the margin,
// the mixture exceeds 1/alpha with a probability of at most alpha, however
// often it is looked at (Ville's inequality).
// margin is the ratio of fault rates up to which a version is not worse.
const margin = 1.25

// leaningRatio is the likelihood ratio from which the evidence leans against
// the new version. It only delays the next step, so it may be wrong more often
// than a verdict.
const leaningRatio = 20

// excesses are the alternatives: by how much the fault rate of the new version
// exceeds the present rate. Small ones catch slight faults late, large ones
// catch severe faults early.
var excesses = [...]float64{0.02, 0.05, 0.1, 0.3}

const (
	// windowRequests is the number of requests of the new version in one window.
	// In a shorter window one request is a large part of the traffic, and a
	// fault in it hardly counts against a new version with a small share.
	windowRequests = 4
	// rateMemory is the number of requests over which the present fault rate is
	// averaged.
	rateMemory = 50
	// startRate and minRate bound the present fault rate before there are
	// faults, in faults per request.
	startRate = 0.01
	minRate   = 0.002
)

// tally counts bad events among trials.
type tally struct {
	trials int64
	bad    int64
}

func (t tally) add(u tally) tally { return tally{t.trials + u.trials, t.bad + u.bad} }

// sequentialTest compares the bad events of the new version with those of the
// old one as they come in. It needs both versions in the same window: a version
// that is judged by an earlier record is blamed for faults of its surroundings.
type sequentialTest struct {
	logRatio [len(excesses)]float64
	rate     float64 // present fault rate of both versions together; 0 before the first window
	newer    tally   // counts that wait for a window that is long enough
	older    tally
}

// observe adds counts. They are judged once the window holds enough requests of
// the new version.
func (s *sequentialTest) observe(newer, older tally) {
	s.newer, s.older = s.newer.add(newer), s.older.add(older)
	if s.newer.trials < windowRequests {
		return
	}
	s.judge(s.newer, s.older)
	s.newer, s.older = tally{}, tally{}
}

func (s *sequentialTest) judge(newer, older tally) {
	trials := float64(newer.trials + older.trials)
	s.updateRate(trials, float64(newer.bad+older.bad))
	for i, e := range excesses {
		s.logRatio[i] += sameWindow(newer, older, 1+e/s.rate)
	}
}

// updateRate takes only the sum over both versions into account. The ratio that
// the test uses may therefore depend on the window itself: it does not depend
// on which version the bad events fell on.
func (s *sequentialTest) updateRate(trials, bad float64) {
	if s.rate == 0 {
		s.rate = startRate
	}
	weight := min(trials/rateMemory, 1)
	s.rate = max(minRate, (1-weight)*s.rate+weight*bad/trials)
}

// sameWindow is the log likelihood ratio of where the bad events of a window
// fell, given how many there were. A fault that hits both versions alike, such
// as a slow network, raises the present rate and hardly counts.
func sameWindow(newer, older tally, ratio float64) float64 {
	if newer.trials == 0 || older.trials == 0 {
		return 0
	}
	n, o := float64(newer.trials), float64(older.trials)
	p0 := margin * n / (margin*n + o)
	p1 := margin * ratio * n / (margin*ratio*n + o)
	return float64(newer.bad)*math.Log(p1/p0) + float64(older.bad)*math.Log((1-p1)/(1-p0))
}

// logMixture returns the logarithm of the mean likelihood ratio.
func (s *sequentialTest) logMixture() float64 {
	top := s.logRatio[0]
	for _, l := range s.logRatio[1:] {
		top = max(top, l)
	}
	sum := 0.0
	for _, l := range s.logRatio {
		sum += math.Exp(l - top)
	}
	return top + math.Log(sum/float64(len(s.logRatio)))
}

// leans reports whether the evidence speaks against the new version without
// being sufficient yet.
func (s *sequentialTest) leans() bool {
	return s.logMixture() > math.Log(leaningRatio)
}

// rejects reports whether the new version is worse at error rate alpha.
func (s *sequentialTest) rejects(alpha float64) bool {
	return s.logMixture() > -math.Log(alpha)
}
