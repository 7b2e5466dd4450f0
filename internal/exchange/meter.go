package exchange

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
)

// Overhead that a node adds to the bytes of its connections, since the kernel
// does not tell them: IPv4 and TCP headers with the timestamp option are 52
// bytes a segment. The acknowledgement of a request rides on its reply, which
// comes within the 40 ms for which Linux delays it; that of the reply is a
// segment of its own. So two segments with data cost one without, half of which
// is charged to each.
const (
	segmentBytes  = 1448
	headerBytes   = 52
	overheadBytes = headerBytes + headerBytes/2
)

// budgetShare is the part of the budget to which the meter holds a node. The
// rest covers notices, which are never held back.
const budgetShare = 0.9

// budgetBurst is the time whose budget may be used at once.
const budgetBurst = 2 * time.Second

// Meter counts the bytes of a node's connections and holds them to the budget.
type Meter struct {
	in, out, overhead atomic.Int64
	budget            int64 // bytes a second to which the node is held
	limiter           *rate.Limiter
	asked             atomic.Int64 // percent that peers ask for
	stretch           bool         // lengthen the report period; switched off by tests only
}

// DefaultBudget is the limit of control traffic of a node at the target size,
// in bytes a second.
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
	budget = int64(budgetShare * float64(budget))
	return &Meter{
		budget: budget, stretch: true,
		limiter: rate.NewLimiter(rate.Limit(budget), int(float64(budget)*budgetBurst.Seconds())),
	}
}

// Usage is a count of bytes.
type Usage struct{ In, Out, Overhead int64 }

// Total returns all bytes on the wire.
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

// charge takes n bytes from the budget and goes into debt when it is used up.
func (m *Meter) charge(now time.Time, n int) {
	for n > 0 {
		part := min(n, m.limiter.Burst())
		m.limiter.ReserveN(now, part)
		n -= part
	}
}

// detailShare is the part of the burst that must be left for details.
const detailShare = 0.5

// AllowDetails reports whether details for the slow view may be sent at now.
// They are dropped first: before the budget is used up, and as soon as a peer
// asks to stretch. Evidence and reports wait longer then and are merged into
// the next ones; notices, verdicts and offsets always go.
func (m *Meter) AllowDetails(now time.Time) bool {
	return m.asked.Load() <= 100 && m.limiter.TokensAt(now) > detailShare*float64(m.limiter.Burst())
}

// MaxStretch is the longest report period over the regular one. A holder hears
// from an endpoint every 2 s, so it leads to the longest period of 4 s.
const MaxStretch = 2.0

// Stretch returns the factor by which the report period must be lengthened at
// now: 1 within the budget, and one more for each second of debt. A larger
// factor that a peer asks for counts.
func (m *Meter) Stretch(now time.Time) float64 {
	debt := -m.limiter.TokensAt(now) / float64(m.budget)
	if !m.stretch {
		return 1
	}
	factor := min(MaxStretch, max(1+max(0, debt), float64(m.asked.Load())/100))
	stretchGauge.Set(factor)
	return factor
}

// SetRequestedStretch notes the factor that the receivers of this node's reports ask for.
func (m *Meter) SetRequestedStretch(factor float64) { m.asked.Store(int64(factor * 100)) }

// countedConn counts what passes through a connection.
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
