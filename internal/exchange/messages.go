package exchange

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/limit"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// Methods of the exchange. Every call carries the name of the service, which is
// short for this reason. Entries serve all methods, sides only Crash.
const (
	Service       = "E"
	MethodReport  = "E.Report"
	MethodGroups  = "E.Groups"
	MethodBorrow  = "E.Borrow"
	MethodLeaving = "E.Leaving"
	MethodCrash   = "E.Crash"
	MethodCrashes = "E.Crashes"
)

// Bounds on the lengths of lists and ids in messages.
const (
	maxGroups  = 256
	maxWishes  = 512
	maxCrashes = 64
	maxIDBytes = 128
	maxLatches = summary.MaxLatches
)

// ErrMalformed is returned for a message whose content is out of bounds.
var ErrMalformed = eris.New("exchange: message is out of its bounds")

// News is the gossip that is piggybacked on messages and replies: state that
// must reach every process soon without depending on the log.
type News struct {
	ConfigOffset int64
	Verdicts     map[string]int64
	Crashes      []Crash
}

// Crash is the message form of suspect.Crash.
type Crash struct {
	ID           string
	Endpoint     string
	AgeMS        int64
	Fingerprints []uint64
}

// FromCrash returns the message form of c at now.
func FromCrash(c suspect.Crash, now time.Time) Crash {
	return Crash{ID: c.ID, Endpoint: string(c.Endpoint), AgeMS: now.Sub(c.At).Milliseconds(), Fingerprints: c.Fingerprints}
}

// FromCrashes returns the message form of the last maxCrashes items of list.
func FromCrashes(list []suspect.Crash, now time.Time) []Crash {
	list = list[max(0, len(list)-maxCrashes):]
	out := make([]Crash, len(list))
	for i, c := range list {
		out[i] = FromCrash(c, now)
	}
	return out
}

// Model returns the crash that c encodes, received at now.
func (c Crash) Model(now time.Time) (suspect.Crash, error) {
	if c.ID == "" || len(c.ID) > maxIDBytes || len(c.Endpoint) > maxIDBytes || len(c.Fingerprints) > suspect.MaxPerCrash || c.AgeMS < 0 {
		return suspect.Crash{}, ErrMalformed
	}
	return suspect.Crash{
		ID: c.ID, Endpoint: model.EndpointID(c.Endpoint), At: now.Add(-millis(c.AgeMS)), Fingerprints: c.Fingerprints,
	}, nil
}

// Model returns the crashes in n, received at now.
func (n News) Model(now time.Time) ([]suspect.Crash, error) {
	if len(n.Crashes) > maxCrashes || len(n.Verdicts) > maxLatches {
		return nil, ErrMalformed
	}
	out := make([]suspect.Crash, 0, len(n.Crashes))
	for _, c := range n.Crashes {
		m, err := c.Model(now)
		if err != nil {
			return nil, err
		}
		out = append(out, m)
	}
	return out, nil
}

// maxAge bounds ages and times in messages.
const maxAge = 24 * time.Hour

// millis converts milliseconds to a duration from 0 to maxAge.
func millis(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxAge.Milliseconds())) * time.Millisecond
}

// ReportArgs is the load report that a side sends regularly to an aggregator.
type ReportArgs struct {
	Endpoint string
	Pool     string
	Region   string
	Group    int
	Load     int64
	Running  int
	Leaving  bool
	News     News
}

// Model returns the report that a encodes.
func (a ReportArgs) Model() (summary.Report, error) {
	if a.Endpoint == "" || len(a.Endpoint) > maxIDBytes || len(a.Pool) > maxIDBytes || len(a.Region) > maxIDBytes || a.Load < 0 || a.Group < 0 {
		return summary.Report{}, ErrMalformed
	}
	return summary.Report{
		Endpoint: model.EndpointID(a.Endpoint), Group: a.Group, Load: a.Load, Running: a.Running, Leaving: a.Leaving,
		Key: summary.Key{Pool: model.Pool(a.Pool), Region: model.Region(a.Region)},
	}, nil
}

// FromReport returns the message form of r.
func FromReport(r summary.Report) ReportArgs {
	return ReportArgs{
		Endpoint: string(r.Endpoint), Pool: string(r.Key.Pool), Region: string(r.Key.Region),
		Group: r.Group, Load: r.Load, Running: r.Running, Leaving: r.Leaving,
	}
}

// Mean is the message form of summary.Mean.
type Mean struct {
	PerEndpoint float64
	Endpoints   int
	AgeMS       int64
}

// FromMean returns the message form of m.
func FromMean(m summary.Mean) Mean {
	return Mean{PerEndpoint: m.PerEndpoint, Endpoints: m.Endpoints, AgeMS: m.Age.Milliseconds()}
}

// Model returns the mean that m encodes.
func (m Mean) Model() (summary.Mean, error) {
	if !(m.PerEndpoint >= 0) || m.Endpoints < 0 {
		return summary.Mean{}, ErrMalformed
	}
	return summary.Mean{PerEndpoint: m.PerEndpoint, Endpoints: m.Endpoints, Age: millis(m.AgeMS)}, nil
}

// ReportReply is the reply to a load report.
type ReportReply struct {
	Mean    Mean
	Percent int // stretch factor that the aggregator asks for, in percent; 0 means 100
	News    News
}

// GroupsArgs carries the load sums of an aggregator's groups of one pool to a
// root.
type GroupsArgs struct {
	Pool   string
	Region string
	Sums   []GroupSum
	News   News
}

// GroupSum is the message form of summary.GroupSum.
type GroupSum struct {
	Group     int
	Load      int64
	Endpoints int
	AgeMS     int64
}

// Model returns the sums that a encodes.
func (a GroupsArgs) Model() ([]summary.GroupSum, error) {
	if len(a.Sums) > maxGroups || len(a.Pool) > maxIDBytes || len(a.Region) > maxIDBytes {
		return nil, ErrMalformed
	}
	k := summary.Key{Pool: model.Pool(a.Pool), Region: model.Region(a.Region)}
	out := make([]summary.GroupSum, 0, len(a.Sums))
	for _, s := range a.Sums {
		if s.Load < 0 || s.Endpoints <= 0 || s.Group < 0 {
			return nil, ErrMalformed
		}
		out = append(out, summary.GroupSum{Key: k, Group: s.Group, Sum: summary.Sum{Load: s.Load, Endpoints: s.Endpoints, Age: millis(s.AgeMS)}})
	}
	return out, nil
}

// FromSums returns the message with the sums of one pool.
func FromSums(k summary.Key, sums []summary.GroupSum) GroupsArgs {
	a := GroupsArgs{Pool: string(k.Pool), Region: string(k.Region)}
	for _, s := range sums[:min(len(sums), maxGroups)] {
		a.Sums = append(a.Sums, GroupSum{s.Group, s.Sum.Load, s.Sum.Endpoints, s.Sum.Age.Milliseconds()})
	}
	return a
}

// GroupsReply carries the mean load as the root knows it.
type GroupsReply struct {
	Mean Mean
	News News
}

// Wish is a request to the home entry of a workspace for cost units.
type Wish struct {
	Workspace string
	Want      int64
	Need      int64 // the home entry grants at least this many units or none
}

// BorrowArgs carries the requests for cost units of several workspaces.
type BorrowArgs struct{ Wishes []Wish }

// Check reports whether the message is within its bounds.
func (a BorrowArgs) Check() error {
	if len(a.Wishes) > maxWishes {
		return ErrMalformed
	}
	for _, w := range a.Wishes {
		if len(w.Workspace) > maxIDBytes || w.Want < 0 || w.Need < 0 {
			return ErrMalformed
		}
	}
	return nil
}

// Grant is the message form of limit.Grant, the reply to one Wish.
type Grant struct {
	Units   int64
	RetryMS int64
}

// BorrowReply carries the grants in the order of BorrowArgs.Wishes.
type BorrowReply struct{ Grants []Grant }

// FromGrant returns the message form of g.
func FromGrant(g limit.Grant) Grant {
	return Grant{Units: g.Units, RetryMS: g.RetryAfter.Milliseconds()}
}

// Model returns the grant that g encodes.
func (g Grant) Model() limit.Grant {
	return limit.Grant{Units: max(0, g.Units), RetryAfter: millis(g.RetryMS)}
}

// LeavingArgs is the notice that an instance takes no new work.
type LeavingArgs struct {
	Instance string
	Tree     int // index of the broadcast tree
}

// CrashArgs is a crash notice.
type CrashArgs struct {
	Crash  Crash
	Pool   string
	Tree   int   // index of the broadcast tree
	WaitMS int64 // time to wait for the acknowledgements of the next hops
}

// CrashesArgs asks for the crashes that are not older than WithinMS.
type CrashesArgs struct{ WithinMS int64 }

// Within returns the maximum age of the crashes.
func (a CrashesArgs) Within() time.Duration { return millis(a.WithinMS) }

// Ack acknowledges a notice.
type Ack struct{}
