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

// exchangeState is the part of the control state for the control exchange.
type exchangeState struct {
	peers          *member.Peers
	aggregator     *summary.Aggregator
	latches        summary.Latches
	homeBuckets    *limit.Home
	leases         *limit.Leases
	borrowing      map[model.Workspace][]spendRequest   // by workspace with a borrow in progress: the requests that wait for it
	homeRetryAt    map[model.InstanceID]time.Time       // end of the backoff from homes that could not be reached
	homes          map[model.Workspace]model.InstanceID // cache of homeOf
	homesPeers     *member.Peers                        // from which homes was computed
	retryBudgets   *retry.Budgets
	suspects       *suspect.Table
	refused        suspect.View        // immutable, replaced as a whole
	quarantined    suspect.Quarantined // immutable, replaced as a whole
	releasedConfig *config.Accepted    // whose released fingerprints are applied to suspects
	notices        summary.Notices
	rootRotation   int // rounds of reports so far; selects the root for the next one
}

// exchangeView is the published part of exchangeState.
type exchangeView struct {
	Suspects    suspect.View
	Quarantined suspect.Quarantined
}

func newExchangeState() exchangeState {
	return exchangeState{
		peers: &member.Peers{}, aggregator: summary.NewAggregator(), latches: summary.Latches{},
		homeBuckets: limit.NewHome(), leases: limit.NewLeases(), borrowing: map[model.Workspace][]spendRequest{},
		homes: map[model.Workspace]model.InstanceID{}, homeRetryAt: map[model.InstanceID]time.Time{}, retryBudgets: retry.NewBudgets(),
		suspects: suspect.NewTable(), notices: summary.Notices{},
	}
}

func (s *exchangeState) view() exchangeView {
	return exchangeView{Suspects: s.refused, Quarantined: s.quarantined}
}

// gossip is the state that is piggybacked on messages to peers.
type gossip struct {
	offset  int64 // of the accepted configuration
	latches summary.Latches
	crashes []suspect.Crash
}

// Events of the control exchange.
type (
	// reportReceived carries the load report of a side.
	reportReceived struct {
		control.Question[reportReply]
		report summary.Report
	}
	reportReply struct {
		mean    summary.Mean
		stretch float64 // factor by which the side lengthens its report interval
		gossip  gossip
	}
	// groupSumsReceived carries an aggregator's group sums of one pool to this root.
	groupSumsReceived struct {
		control.Question[groupSumsReply]
		key  summary.Key
		sums []summary.GroupSum
	}
	groupSumsReply struct {
		mean   summary.Mean
		gossip gossip
	}
	// groupSumsQuery asks for the messages with group sums to the roots.
	groupSumsQuery struct {
		control.Question[[]groupSumsMessage]
	}
	groupSumsMessage struct {
		address string
		key     summary.Key
		sums    []summary.GroupSum
		gossip  gossip
	}
	// meanReceived carries the mean load of a pool as computed by a root.
	meanReceived struct {
		key  summary.Key
		mean summary.Mean
	}
	// gossipReceived carries crashes and latches from a peer or the log.
	gossipReceived struct {
		crashes []suspect.Crash
		latches summary.Latches
	}
	// crashNoticeReceived carries a crash notice of a broadcast tree. The reply
	// lists the next hops.
	crashNoticeReceived struct {
		control.Question[[]member.Hop]
		crash suspect.Crash
		pool  model.Pool
		tree  int
	}
	// leavingNoticeReceived carries a leaving notice of a broadcast tree. The reply
	// lists the next hops.
	leavingNoticeReceived struct {
		control.Question[[]member.Hop]
		instance model.InstanceID
		tree     int
	}
	// recentCrashesQuery asks for recent crashes.
	recentCrashesQuery struct {
		control.Question[[]suspect.Crash]
		within time.Duration
	}
	// spendRequest asks whether a request is within its workspace's limit.
	spendRequest struct {
		control.Deferred[spendDecision]
		workspace model.Workspace
		pool      model.Pool
		plan      limit.Plan
		cost      int64
	}
	// borrowDone carries the result of a borrow.
	borrowDone struct {
		control.Question[spendDecision]
		request       spendRequest
		home          model.InstanceID
		leaseRequests []leaseRequest
		grants        []limit.Grant // empty if the home could not be reached
	}
	// lendRequest asks this home entry for cost units.
	lendRequest struct {
		control.Question[[]limit.Grant]
		leaseRequests []leaseRequest
	}
	// leaseRequest asks for up to want cost units of a workspace, and for no fewer
	// than need.
	leaseRequest struct {
		workspace  model.Workspace
		want, need int64
	}
	// retryQuery asks whether a refused request may be sent again.
	retryQuery struct {
		control.Question[bool]
		request *model.Request
		refusal *model.Refusal
	}
)

func (reportReceived) EventName() string        { return "report_received" }
func (groupSumsReceived) EventName() string     { return "groups_received" }
func (groupSumsQuery) EventName() string        { return "take_groups" }
func (meanReceived) EventName() string          { return "mean_told" }
func (gossipReceived) EventName() string        { return "news_heard" }
func (crashNoticeReceived) EventName() string   { return "crash_heard" }
func (leavingNoticeReceived) EventName() string { return "leaving_heard" }
func (recentCrashesQuery) EventName() string    { return "crashes_asked" }
func (spendRequest) EventName() string          { return "spend_request" }
func (borrowDone) EventName() string            { return "borrow_done" }
func (lendRequest) EventName() string           { return "lend_request" }
func (retryQuery) EventName() string            { return "repeat_request" }

// spendDecision answers a spendRequest. The request is allowed, is refused, or has
// to borrow.
type spendDecision struct {
	allowed       bool
	retryAfter    time.Duration    // if refused
	address       string           // control address to borrow from; empty if allowed or refused
	home          model.InstanceID // home entry at address
	leaseRequests []leaseRequest
}
