package place

import (
	"math"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// AnswerTime is what a complete answer tells of the speed of its endpoint and of the pool.
type AnswerTime struct {
	Kind       model.Route   // kind of request
	Stated     StatedLoad    // in the head of the answer
	Load       float64       // of the endpoint, as known when it was chosen
	Uncached   int           // prompt tokens that the endpoint was expected to read; negative if not known
	Fetched    int           // prompt tokens that it was told to fetch from another endpoint
	FirstEvent time.Duration // from sending the request to the first event
	Whole      time.Duration // from sending the request to the end; FirstEvent of an answer that is no stream is the same
	Bytes      int           // of the request and the answer
}

const (
	// priorFirstEvent and priorReadTime are the time to the first event without a prompt
	// and the time for each prompt token, in ms, that are assumed until answers tell
	// others: those of an engine of the first users.
	priorFirstEvent = 15.0
	priorReadTime   = 1.0 / prefillRate
	// priorWeight is the weight of the assumed values, in answers.
	priorWeight = 4.0
	// priorTokens is the prompt size at which the assumed read time counts.
	priorTokens = 4000.0
	// answerMemory is the number of answers over which the pool's times are averaged. At
	// 17 answers a second, the rate of one router of 28, that is 12 s.
	answerMemory = 200
	// minReadTime and maxReadTime bound the learned time for each prompt token in ms.
	minReadTime = 1.0 / 1000
	maxReadTime = 1.0 / 5
	// minFirstEvent bounds the learned time to the first event without a prompt in ms.
	minFirstEvent = 1.0
	// maxSpread bounds a time against the expected one, so that a single answer that was
	// delayed for another reason does not move the averages.
	maxSpread = 8.0
)

// lineFit fits the time to the first event, in ms, to a line over the prompt tokens that
// are not cached. Older answers weigh less.
type lineFit struct{ n, x, y, xx, xy float64 }

func newLineFit() lineFit {
	var f lineFit
	for _, tokens := range []float64{0, priorTokens} {
		f.add(tokens, priorFirstEvent+tokens*priorReadTime, priorWeight/2)
	}
	return f
}

// priorDelaySlope is the time in ms by which each request in flight at an endpoint is assumed
// to delay the first event of another one until answers tell it, at loads up to priorLoad.
// It is low, so that requests go to other data centres only for delays that were observed.
const (
	priorDelaySlope = 0.1
	priorLoad       = 20.0
)

func newDelayFit() lineFit {
	var f lineFit
	for _, load := range []float64{0, priorLoad} {
		f.add(load, priorFirstEvent+load*priorDelaySlope, priorWeight/2)
	}
	return f
}

func (f *lineFit) add(x, y, weight float64) {
	f.n, f.x, f.y, f.xx, f.xy = f.n+weight, f.x+weight*x, f.y+weight*y, f.xx+weight*x*x, f.xy+weight*x*y
}

// observe adds one answer.
func (f *lineFit) observe(x, y float64) {
	const keep = 1 - 1.0/answerMemory
	f.n, f.x, f.y, f.xx, f.xy = f.n*keep, f.x*keep, f.y*keep, f.xx*keep, f.xy*keep
	f.add(x, y, 1)
}

// slope returns the slope of the line, or prior if the values of x hardly differ.
func (f *lineFit) slope(prior float64) float64 {
	meanX := f.x / f.n
	if variance := f.xx/f.n - meanX*meanX; variance > 1 {
		return (f.xy/f.n - meanX*f.y/f.n) / variance
	}
	return prior
}

// promptLine returns the time to the first event without a prompt and the time for each
// token.
func (f *lineFit) promptLine() (base, perToken float64) {
	perToken = min(max(f.slope(priorReadTime), minReadTime), maxReadTime)
	return max(minFirstEvent, f.y/f.n-perToken*f.x/f.n), perToken
}

// delayLine returns the delay at no load, which may be negative since delays rise faster than
// a line, and by how much each request in flight raises it.
func (f *lineFit) delayLine() (base, perRequest float64) {
	perRequest = max(0, f.slope(priorDelaySlope))
	return f.y/f.n - perRequest*f.x/f.n, perRequest
}

// average is an exponentially weighted mean; value is 0 before the first figure.
type average struct {
	value float64
	count int
}

// averageMemory is the number of figures over which an average is taken.
const averageMemory = 50

func (a *average) add(v float64) {
	a.count++
	a.value += (v - a.value) / float64(min(a.count, averageMemory))
}

// poolTimes are the times of a pool as answers told them, at the usual work time.
type poolTimes struct {
	workTimeStated bool // an endpoint of the pool has stated its work time
	fit            lineFit
	base, perToken float64 // line of fit, in ms
	fetch          average // ms for each token that was fetched from another endpoint
	fetchedAt      time.Time
	whole          average      // ms from the first event to the end
	delay          lineFit      // ms to the first event, without reading the prompt, over the load of the endpoint
	local, remote  learnedSpeed // delays in the own data centre and in others, relative to that line
	kinds          map[model.Route]*kindTimes
}

// kindTimes are the times and the bytes of one kind of request.
type kindTimes struct {
	whole average // ms from the first event to the end
	bytes average // of the request and the answer
}

// timesOf returns the times of a pool.
func (t *Table) timesOf(pool model.Pool) *poolTimes {
	p := t.times[pool]
	if p == nil {
		p = &poolTimes{fit: newLineFit(), delay: newDelayFit(), kinds: map[model.Route]*kindTimes{}}
		p.base, p.perToken = p.fit.promptLine()
		t.times[pool] = p
	}
	return p
}

// maxKinds bounds the kinds of requests of a pool whose times are kept.
const maxKinds = 64

// kind returns the times of a kind of request, or nil if there are too many kinds.
func (p *poolTimes) kind(name model.Route) *kindTimes {
	k := p.kinds[name]
	if k == nil && len(p.kinds) < maxKinds {
		k = &kindTimes{}
		p.kinds[name] = k
	}
	return k
}

// wholeTime returns the expected time in ms from the first event to the end.
func (p *poolTimes) wholeTime(kind model.Route) float64 {
	if k := p.kinds[kind]; k != nil && k.whole.count > 0 {
		return k.whole.value
	}
	return p.whole.value
}

const (
	// minFetches is how many answers the learned time of a fetch needs.
	minFetches = 4
	// maxFetchCost is the largest time for fetching a token relative to reading it at
	// which it is still fetched: reading takes time that the other requests of the
	// endpoint need.
	maxFetchCost = 2.0
	// fetchRetry is the time after the last fetch from which prompts are fetched again
	// although that took too long.
	fetchRetry = 30 * time.Second
)

// fetchTime returns the expected time in ms for each token that is fetched from another
// endpoint. Until answers tell it, it is that of reading the token.
func (p *poolTimes) fetchTime() float64 {
	if p.fetch.count < minFetches {
		return p.perToken
	}
	return p.fetch.value
}

// fetchPays reports whether prompts are fetched rather than read again.
func (p *poolTimes) fetchPays(now time.Time) bool {
	return p.fetchTime() <= maxFetchCost*p.perToken || now.Sub(p.fetchedAt) >= fetchRetry
}

const (
	// learnedSmoothing is the weight of a new answer in the learned speed of an endpoint, if
	// it comes at once. After learnedFades the former answers have a third of their weight.
	learnedSmoothing = 0.3
	learnedFades     = 3 * time.Second
	// sideSmoothing is the same weight for the delays in a data centre, of which there are
	// many answers.
	sideSmoothing = 0.05
	// sideFades is the time over which the delays in a data centre lose their weight once no
	// answers come from there. Otherwise a router that sends all requests elsewhere would not
	// see that the own capacity is back.
	sideFades = time.Second
	// minLearnedAnswers is how many answers a learned speed needs, and maxLearnedAge the
	// age from which it no longer counts.
	minLearnedAnswers = 4
	maxLearnedAge     = 10 * time.Second
	// maxLearned bounds a learned speed. An endpoint that is slower than that becomes
	// known by its failures and by its load.
	maxLearned = 4.0
)

// learnedSpeed is how long the first event of an endpoint takes relative to the expected
// time. It makes up for work times that are not stated or wrong.
type learnedSpeed struct {
	ratio   float64
	answers int
	at      time.Time
}

func (l *learnedSpeed) add(now time.Time, ratio, smoothing float64) {
	if now.Sub(l.at) >= maxLearnedAge {
		*l = learnedSpeed{ratio: 1, at: now}
	}
	former := (1 - smoothing) * math.Exp(-now.Sub(l.at).Seconds()/learnedFades.Seconds())
	l.ratio += (1 - former) * (min(ratio, maxSpread) - l.ratio)
	l.answers++
	l.at = now
}

// level returns the mean ratio, bounded, or 1 if it is not known.
func (l *learnedSpeed) level(now time.Time) float64 {
	if l.answers < minLearnedAnswers || now.Sub(l.at) >= maxLearnedAge {
		return 1
	}
	return max(1/maxLearned, min(l.ratio, maxLearned))
}

// sideLevel returns level for the delays in a data centre.
func (l *learnedSpeed) sideLevel(now time.Time) float64 {
	return 1 + (l.level(now)-1)*math.Exp(-now.Sub(l.at).Seconds()/sideFades.Seconds())
}

// factor returns the factor by which the endpoint is slower than the pool, beyond what it
// states.
func (l *learnedSpeed) factor(now time.Time) float64 { return aboveVariation(l.level(now)) }

// RecordAnswerTime applies the times of a complete answer. Those of endpoints that state no
// work time count only where a price of requests to other data centres is set, since nothing
// else depends on them.
func (t *Table) RecordAnswerTime(now time.Time, id model.EndpointID, a AnswerTime) {
	s := t.endpoints[id]
	stated := a.Stated.WorkTime > 0
	if s == nil || !stated && !t.price.Enabled() {
		return
	}
	p := t.timesOf(s.Pool)
	p.workTimeStated = p.workTimeStated || stated
	kind := p.kind(a.Kind)
	if kind != nil && a.Bytes > 0 {
		kind.bytes.add(float64(a.Bytes))
	}
	if a.FirstEvent <= 0 || a.Whole < a.FirstEvent || now.Before(s.coldUntil) {
		return // a cold endpoint tells nothing of the others
	}
	workTime := 1.0
	if stated {
		workTime = a.Stated.WorkTime
	}
	whole := milliseconds(a.Whole-a.FirstEvent) / workTime
	if a.Whole == a.FirstEvent {
		whole = milliseconds(a.Whole) / workTime
	}
	p.whole.add(whole)
	if kind != nil {
		kind.whole.add(whole)
	}
	if a.Uncached < 0 {
		return
	}
	first := milliseconds(a.FirstEvent) / workTime
	if a.Fetched == 0 {
		p.recordDelay(now, s.DataCentre == t.home, a.Load, max(0, first-float64(a.Uncached)*p.perToken))
	}
	if stated && a.Stated.Waiting == 0 { // otherwise it tells how long the queue was
		p.recordFirstEvent(now, s, first, a)
	}
}

// recordDelay applies the delay of an answer, in ms without reading its prompt. Requests are not
// alike: where the small ones have gone to other data centres, those that are left delay each
// other more.
func (p *poolTimes) recordDelay(now time.Time, local bool, load, delay float64) {
	base, slope := p.delay.delayLine()
	ratio := delay / max(minFirstEvent, base+slope*load)
	if local {
		p.local.add(now, ratio, sideSmoothing)
	} else {
		p.remote.add(now, ratio, sideSmoothing)
	}
	p.delay.observe(load, delay)
}

// recordFirstEvent applies the time to the first event, in ms at the usual work time, of a
// request that did not wait for a slot.
func (p *poolTimes) recordFirstEvent(now time.Time, s *endpointState, first float64, a AnswerTime) {
	expected := p.base + float64(a.Uncached)*p.perToken
	first = min(first, maxSpread*(expected+float64(a.Fetched)*p.fetchTime()))
	if a.Fetched > 0 {
		p.fetch.add(max(0, first-expected) / float64(a.Fetched))
		p.fetchedAt = now
		return
	}
	// An endpoint with more requests than others is not slow for that reason.
	base, slope := p.delay.delayLine()
	s.learned.add(now, first/max(expected, base+slope*a.Load+float64(a.Uncached)*p.perToken), learnedSmoothing)
	p.fit.observe(float64(a.Uncached), first)
	p.base, p.perToken = p.fit.promptLine()
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
