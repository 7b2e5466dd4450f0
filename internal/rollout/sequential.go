package rollout

import "math"

// margin is the ratio of bad-event rates up to which a version is not worse.
const margin = 1.25

// warningRatio is the likelihood ratio above which the evidence warns against the
// new version. A warning only delays the next step, so it may be wrong more often
// than a verdict.
const warningRatio = 20

// excessRates are the alternative hypotheses: by how much the bad-event rate of
// the new version exceeds the current rate. Small values detect slight
// regressions late, large values detect severe regressions early.
var excessRates = [...]float64{0.02, 0.05, 0.1, 0.3}

const (
	// windowRequests is the minimum number of requests of the new version in one
	// window. In a shorter window one request is a large fraction of the traffic,
	// and its failure hardly counts against a new version with a small share.
	windowRequests = 4
	// rateWindow is the number of requests over which the current bad-event rate
	// is averaged.
	rateWindow = 50
	// startRate is the initial value of the current bad-event rate and minRate its
	// lower bound, both in bad events per request.
	startRate = 0.01
	minRate   = 0.002
)

// tally counts trials, which are requests, and the bad events among them.
type tally struct {
	trials int64
	bad    int64
}

func (t tally) add(u tally) tally { return tally{t.trials + u.trials, t.bad + u.bad} }

// sequentialTest compares the bad events of the new version with those of the
// old one as they arrive. It is a mixture of likelihood ratios. Under the
// hypothesis that the new version is not worse than the old one by more than the
// margin, the mixture exceeds 1/alpha with a probability of at most alpha, however
// often it is evaluated (Ville's inequality).
//
// It compares both versions within the same window: a version that is compared with
// earlier evidence is blamed for failures of its environment.
type sequentialTest struct {
	logRatio [len(excessRates)]float64 // log likelihood ratio by alternative hypothesis
	rate     float64                   // current bad-event rate of both versions together; 0 before the first window
	newer    tally                     // counts of the window in progress
	older    tally
}

// observe adds counts. The test is updated once the window has enough requests
// of the new version.
func (s *sequentialTest) observe(newer, older tally) {
	s.newer, s.older = s.newer.add(newer), s.older.add(older)
	if s.newer.trials < windowRequests {
		return
	}
	s.update(s.newer, s.older)
	s.newer, s.older = tally{}, tally{}
}

func (s *sequentialTest) update(newer, older tally) {
	trials := float64(newer.trials + older.trials)
	s.updateRate(trials, float64(newer.bad+older.bad))
	for i, e := range excessRates {
		s.logRatio[i] += logLikelihoodRatio(newer, older, 1+e/s.rate)
	}
}

// updateRate uses only the sum over both versions. The ratio of the test may
// therefore depend on the window itself, since it does not depend on which
// version the bad events belong to.
func (s *sequentialTest) updateRate(trials, bad float64) {
	if s.rate == 0 {
		s.rate = startRate
	}
	weight := min(trials/rateWindow, 1)
	s.rate = max(minRate, (1-weight)*s.rate+weight*bad/trials)
}

// logLikelihoodRatio returns the log likelihood ratio of how the bad events of a
// window are split between the versions, given their number. A problem of both
// versions, such as a slow network, raises the current rate and hardly counts.
func logLikelihoodRatio(newer, older tally, ratio float64) float64 {
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

// warns reports whether the evidence is against the new version, although it may
// not suffice to reject it yet.
func (s *sequentialTest) warns() bool {
	return s.logMixture() > math.Log(warningRatio)
}

// rejects reports whether the new version is worse, with error rate alpha.
func (s *sequentialTest) rejects(alpha float64) bool {
	return s.logMixture() > -math.Log(alpha)
}
