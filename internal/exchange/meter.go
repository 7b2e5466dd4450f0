package exchange

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
)

// Estimate of the header bytes that a node adds to the bytes of its connections,
// since the kernel does not report them. IPv4 and TCP headers with the timestamp
// option take 52 bytes a segment. The acknowledgement of a request is
// piggybacked on its reply, which is sent within the 40 ms for which Linux
// delays acknowledgements; the reply is acknowledged by a segment without data.
// So each segment with data is charged its own header and half of the header of
// a segment without data.
const (
	segmentBytes  = 1448
	headerBytes   = 52
	overheadBytes = headerBytes + headerBytes/2
)

// enforcedShare is the fraction of the budget that the meter enforces. The rest
// covers notices, which are never delayed.
const enforcedShare = 0.9

// budgetBurstTime is the time whose budget may be used in one burst.
const budgetBurstTime = 2 * time.Second

// Meter counts the bytes of a node's connections and keeps them within the
// control budget.
type Meter struct {
	in, out, overhead atomic.Int64
	budget            int64 // enforced share of the budget, in bytes a second
	limiter           *rate.Limiter
	requestedPercent  atomic.Int64 // stretch factor that peers ask for, in percent
	stretchEnabled    bool         // false only in tests that show that the stretch is needed
}

// DefaultBudget is the control budget of a node at the target size, in bytes a
// second.
const DefaultBudget = 11_000

var (
	bytesIn       = metrics.GetOrCreateCounter(`goldcrest_control_bytes_total{direction="in"}`)
	bytesOut      = metrics.GetOrCreateCounter(`goldcrest_control_bytes_total{direction="out"}`)
	bytesOverhead = metrics.GetOrCreateCounter(`goldcrest_control_bytes_total{direction="overhead"}`)
)

var stretchGauge = metrics.GetOrCreateGauge(`goldcrest_control_stretch`, nil)

// NewMeter returns a meter with a budget in bytes a second; 0 means
// DefaultBudget.
func NewMeter(budget int64) *Meter {
	if budget <= 0 {
		budget = DefaultBudget
	}
	budget = int64(enforcedShare * float64(budget))
	return &Meter{
		budget: budget, stretchEnabled: true,
		limiter: rate.NewLimiter(rate.Limit(budget), int(float64(budget)*budgetBurstTime.Seconds())),
	}
}

// Usage is a count of bytes.
type Usage struct{ In, Out, Overhead int64 }

// Total returns the number of bytes on the wire.
func (u Usage) Total() int64 { return u.In + u.Out + u.Overhead }

// Usage returns the bytes counted so far.
func (m *Meter) Usage() Usage { return Usage{m.in.Load(), m.out.Load(), m.overhead.Load()} }

func (m *Meter) count(direction *atomic.Int64, total *metrics.Counter, n int) {
	if n <= 0 {
		return
	}
	segments := (n + segmentBytes - 1) / segmentBytes
	extra := segments * overheadBytes
	direction.Add(int64(n))
	total.Add(n)
	m.overhead.Add(int64(extra))
	bytesOverhead.Add(extra)
	m.charge(time.Now(), n+extra)
}

// charge takes n bytes from the budget, which goes into debt when it is used up.
func (m *Meter) charge(now time.Time, n int) {
	for n > 0 {
		part := min(n, m.limiter.Burst())
		m.limiter.ReserveN(now, part)
		n -= part
	}
}

// detailReserve is the fraction of the burst that must be available for details
// to be sent.
const detailReserve = 0.5

// AllowDetails reports whether details, which are the stage times behind PathSlow,
// may be sent at now. They are dropped first: before the budget is used up, and as
// soon as a peer asks for a stretch. Evidence and load reports wait longer in that
// case and are merged into the next ones; notices, rollout verdicts and
// configuration offsets are always sent.
func (m *Meter) AllowDetails(now time.Time) bool {
	return m.requestedPercent.Load() <= 100 && m.limiter.TokensAt(now) > detailReserve*float64(m.limiter.Burst())
}

// MaxStretch is the largest stretch factor. The regular interval of a side's load
// reports to one aggregator is 2 s, so the longest is 4 s.
const MaxStretch = 2.0

// Stretch returns the stretch factor, by which the report interval must be
// lengthened at now: 1 within the budget, plus 1 for each second of debt, or the
// factor that peers ask for if it is larger. It is at most MaxStretch.
func (m *Meter) Stretch(now time.Time) float64 {
	debt := -m.limiter.TokensAt(now) / float64(m.budget)
	if !m.stretchEnabled {
		return 1
	}
	factor := min(MaxStretch, max(1+max(0, debt), float64(m.requestedPercent.Load())/100))
	stretchGauge.Set(factor)
	return factor
}

// SetRequestedStretch sets the stretch factor that the receivers of this node's
// reports ask for.
func (m *Meter) SetRequestedStretch(factor float64) { m.requestedPercent.Store(int64(factor * 100)) }

// countedConn counts the bytes that pass through a connection.
type countedConn struct {
	net.Conn
	meter *Meter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.count(&c.meter.in, bytesIn, n)
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.count(&c.meter.out, bytesOut, n)
	return n, err
}
