package entry

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/limit"
	"github.com/goldcrestturn/goldcrestturn/internal/member"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/retry"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// exchangeState is the part of the control state that the exchange feeds.
type exchangeState struct {
	peers     *member.Peers
	holder    *summary.Aggregator
	verdicts  summary.Latches
	home      *limit.Home
	wallets   *limit.Leases
	borrowing map[model.Workspace][]spendRequest // requests that wait for a borrow in progress
	homeDown  map[model.InstanceID]time.Time     // homes that could not be reached, until when
	homes     map[model.Workspace]model.InstanceID
	homesOf   *member.Peers // from which homes were worked out
	budgets   *retry.Budgets
	suspects  *suspect.Table
	refused   suspect.View        // replaced, never changed
	touched   suspect.Quarantined // replaced, never changed
	released  *config.Accepted    // whose released fingerprints suspects knows
	notices   summary.Notices
	groupTurn int // counts the reports to the roots
}

// exchangeView is the part of the snapshot that the exchange feeds.
type exchangeView struct {
	Suspects    suspect.View
	Quarantined suspect.Quarantined
}

func newExchangeState() exchangeState {
	return exchangeState{
		peers: &member.Peers{}, holder: summary.NewAggregator(), verdicts: summary.Latches{},
		home: limit.NewHome(), wallets: limit.NewLeases(), borrowing: map[model.Workspace][]spendRequest{},
		homes: map[model.Workspace]model.InstanceID{}, homeDown: map[model.InstanceID]time.Time{}, budgets: retry.NewBudgets(),
		suspects: suspect.NewTable(), notices: summary.Notices{},
	}
}

func (s *exchangeState) view() exchangeView {
	return exchangeView{Suspects: s.refused, Quarantined: s.touched}
}

// news is what replies carry beside their subject.
type news struct {
	offset   int64
	verdicts summary.Latches
	crashes  []suspect.Crash
}

// Events of the control exchange.
type (
	// reportReceived is the regular report of a side.
	reportReceived struct {
		control.Question[reportAnswer]
		report summary.Report
	}
	reportAnswer struct {
		mean    summary.Mean
		stretch float64 // factor for the report period
		news    news
	}
	// groupsReceived carries a holder's sums of one pool to this root.
	groupsReceived struct {
		control.Question[groupsAnswer]
		key  summary.Key
		sums []summary.GroupSum
	}
	groupsAnswer struct {
		mean summary.Mean
		news news
	}
	// takeGroups asks for the sums that go to the roots.
	takeGroups struct {
		control.Question[[]groupsPlan]
	}
	groupsPlan struct {
		address string
		key     summary.Key
		sums    []summary.GroupSum
		news    news
	}
	// meanTold carries a root's mean.
	meanTold struct {
		key  summary.Key
		mean summary.Mean
	}
	// newsHeard carries crashes and verdicts from a peer or the log.
	newsHeard struct {
		crashes  []suspect.Crash
		verdicts summary.Latches
	}
	// crashHeard is a crash notice on its way through a tree. The reply lists
	// the hops to which it goes on.
	crashHeard struct {
		control.Question[[]member.Hop]
		crash suspect.Crash
		pool  model.Pool
		tree  int
	}
	// leavingHeard is a leaving notice on its way through a tree.
	leavingHeard struct {
		control.Question[[]member.Hop]
		instance model.InstanceID
		tree     int
	}
	// crashesAsked asks for recent crashes.
	crashesAsked struct {
		control.Question[[]suspect.Crash]
		within time.Duration
	}
	// spendRequest asks whether a request is within its workspace's limit.
	spendRequest struct {
		control.Deferred[spendVerdict]
		workspace model.Workspace
		pool      model.Pool
		plan      limit.Plan
		cost      int64
	}
	// borrowDone carries the result of a borrow.
	borrowDone struct {
		control.Question[spendVerdict]
		request spendRequest
		home    model.InstanceID
		wishes  []wish
		grants  []limit.Grant // empty if the home could not be reached
	}
	// lendRequest asks this home for units.
	lendRequest struct {
		control.Question[[]limit.Grant]
		wishes []wish
	}
	wish struct {
		workspace  model.Workspace
		want, need int64
	}
	// repeatRequest asks whether a refused request may be sent again.
	repeatRequest struct {
		control.Question[bool]
		request *model.Request
		refusal *model.Refusal
	}
)

func (reportReceived) EventName() string { return "report_received" }
func (groupsReceived) EventName() string { return "groups_received" }
func (takeGroups) EventName() string     { return "take_groups" }
func (meanTold) EventName() string       { return "mean_told" }
func (newsHeard) EventName() string      { return "news_heard" }
func (crashHeard) EventName() string     { return "crash_heard" }
func (leavingHeard) EventName() string   { return "leaving_heard" }
func (crashesAsked) EventName() string   { return "crashes_asked" }
func (spendRequest) EventName() string   { return "spend_request" }
func (borrowDone) EventName() string     { return "borrow_done" }
func (lendRequest) EventName() string    { return "lend_request" }
func (repeatRequest) EventName() string  { return "repeat_request" }

// spendVerdict answers a spendRequest: one of allowed, refused and borrow.
type spendVerdict struct {
	allowed    bool
	retryAfter time.Duration // refused
	address    string        // borrow from this control address
	home       model.InstanceID
	wishes     []wish
}
