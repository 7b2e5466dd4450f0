package exchange

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/limit"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// Methods of the exchange. The service name is short since every call carries
// it. Entries serve all of them, sides serve Crash only.
const (
	Service       = "E"
	MethodReport  = "E.Report"
	MethodGroups  = "E.Groups"
	MethodBorrow  = "E.Borrow"
	MethodLeaving = "E.Leaving"
	MethodCrash   = "E.Crash"
	MethodCrashes = "E.Crashes"
)

// Bounds on the lists in messages.
const (
	maxGroups   = 256
	maxWishes   = 512
	maxCrashes  = 64
	maxID       = 128
	maxVerdicts = summary.MaxLatches
)

// ErrMalformed is the verdict on a message outside of its bounds.
var ErrMalformed = eris.New("exchange: message is out of its bounds")

// News travels with the replies of reports and groups: what must reach every
// process soon and must not depend on the log.
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

// FromCrashes returns the message form of a list, bounded.
func FromCrashes(list []suspect.Crash, now time.Time) []Crash {
	list = list[max(0, len(list)-maxCrashes):]
	out := make([]Crash, len(list))
	for i, c := range list {
		out[i] = FromCrash(c, now)
	}
	return out
}

// Model returns the crash received at now.
func (c Crash) Model(now time.Time) (suspect.Crash, error) {
	if c.ID == "" || len(c.ID) > maxID || len(c.Endpoint) > maxID || len(c.Fingerprints) > suspect.MaxPerCrash || c.AgeMS < 0 {
		return suspect.Crash{}, ErrMalformed
	}
	return suspect.Crash{
		ID: c.ID, Endpoint: model.EndpointID(c.Endpoint), At: now.Add(-millis(c.AgeMS)), Fingerprints: c.Fingerprints,
	}, nil
}

// Model returns the crashes of the news received at now.
func (n News) Model(now time.Time) ([]suspect.Crash, error) {
	if len(n.Crashes) > maxCrashes || len(n.Verdicts) > maxVerdicts {
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

// millis turns a count of milliseconds into a duration within maxAge.
func millis(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxAge.Milliseconds())) * time.Millisecond
}

// ReportArgs is the regular message of a side to a holder.
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

// Model returns the report.
func (a ReportArgs) Model() (summary.Report, error) {
	if a.Endpoint == "" || len(a.Endpoint) > maxID || len(a.Pool) > maxID || len(a.Region) > maxID || a.Load < 0 || a.Group < 0 {
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

// Model returns the mean.
func (m Mean) Model() (summary.Mean, error) {
	if !(m.PerEndpoint >= 0) || m.Endpoints < 0 {
		return summary.Mean{}, ErrMalformed
	}
	return summary.Mean{PerEndpoint: m.PerEndpoint, Endpoints: m.Endpoints, Age: millis(m.AgeMS)}, nil
}

// ReportReply answers a report.
type ReportReply struct {
	Mean    Mean
	Percent int // report period over the regular one that the holder asks for; 0 means 100
	News    News
}

// GroupsArgs carries the sums of a holder's groups of one pool to a root.
type GroupsArgs struct {
	Pool   string
	Region string
	Sums   []GroupSum
	News   News
}

// GroupSum is the message form of one group's sum.
type GroupSum struct {
	Group     int
	Load      int64
	Endpoints int
	AgeMS     int64
}

// Model returns the sums.
func (a GroupsArgs) Model() ([]summary.GroupSum, error) {
	if len(a.Sums) > maxGroups || len(a.Pool) > maxID || len(a.Region) > maxID {
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

// FromSums returns the message for the sums of one pool.
func FromSums(k summary.Key, sums []summary.GroupSum) GroupsArgs {
	a := GroupsArgs{Pool: string(k.Pool), Region: string(k.Region)}
	for _, s := range sums[:min(len(sums), maxGroups)] {
		a.Sums = append(a.Sums, GroupSum{s.Group, s.Sum.Load, s.Sum.Endpoints, s.Sum.Age.Milliseconds()})
	}
	return a
}

// GroupsReply answers with the mean that the root knows.
type GroupsReply struct {
	Mean Mean
	News News
}

// Wish asks the home for units of a workspace.
type Wish struct {
	Workspace string
	Want      int64
	Need      int64 // grant nothing rather than less
}

// BorrowArgs asks for the units of several workspaces at once.
type BorrowArgs struct{ Wishes []Wish }

// Check reports whether the message is within its bounds.
func (a BorrowArgs) Check() error {
	if len(a.Wishes) > maxWishes {
		return ErrMalformed
	}
	for _, w := range a.Wishes {
		if len(w.Workspace) > maxID || w.Want < 0 || w.Need < 0 {
			return ErrMalformed
		}
	}
	return nil
}

// Grant answers one wish.
type Grant struct {
	Units   int64
	RetryMS int64
}

// BorrowReply answers the wishes in their order.
type BorrowReply struct{ Grants []Grant }

// FromGrant returns the message form of g.
func FromGrant(g limit.Grant) Grant {
	return Grant{Units: g.Units, RetryMS: g.RetryAfter.Milliseconds()}
}

// Model returns the grant.
func (g Grant) Model() limit.Grant {
	return limit.Grant{Units: max(0, g.Units), RetryAfter: millis(g.RetryMS)}
}

// LeavingArgs is the notice that an instance takes no new work.
type LeavingArgs struct {
	Instance string
	Tree     int
}

// CrashArgs spreads a crash.
type CrashArgs struct {
	Crash  Crash
	Pool   string
	Tree   int
	WaitMS int64 // time to wait for the acknowledgements of the next hop
}

// CrashesArgs asks for the crashes that are younger than an age.
type CrashesArgs struct{ WithinMS int64 }

// Within returns the age.
func (a CrashesArgs) Within() time.Duration { return millis(a.WithinMS) }

// Ack answers a notice.
type Ack struct{}
