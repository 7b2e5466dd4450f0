package side

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/member"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// exchangeState is the part of the control state that the exchange feeds.
type exchangeState struct {
	peers     *member.Peers
	peersOf   *config.Accepted // configuration from which peers were worked out
	verdicts  summary.Latches
	offset    int64 // highest configuration offset that a peer named
	inFlight  map[model.RequestID]uint64
	spreads   map[string]chan struct{} // crashes of this endpoint whose notice is on its way
	crashOf   map[model.RequestID]suspect.Crash
	suspects  *suspect.Table
	refused   suspect.View     // replaced, never changed
	released  *config.Accepted // whose released fingerprints suspects knows
	crashes   int              // crashes of the endpoint since the start
	isLeaving bool
	notices   summary.Notices
}

// exchangeView is the part of the snapshot that the exchange feeds.
type exchangeView struct {
	Suspects   suspect.View
	Verdicts   summary.Latches
	PeerOffset int64 // highest configuration offset that a peer named
	Leaving    bool
}

func newExchangeState() exchangeState {
	return exchangeState{
		peers: &member.Peers{}, verdicts: summary.Latches{}, offset: config.NoBase,
		inFlight: map[model.RequestID]uint64{}, spreads: map[string]chan struct{}{},
		crashOf: map[model.RequestID]suspect.Crash{}, suspects: suspect.NewTable(), notices: summary.Notices{},
	}
}

func (s *exchangeState) view() exchangeView {
	return exchangeView{Suspects: s.refused, Verdicts: s.verdicts.Clone(), PeerOffset: s.offset, Leaving: s.isLeaving}
}

// Events of the control exchange.
type (
	// takeReport asks for the next report and the holders that get it.
	takeReport struct {
		control.Question[reportPlan]
	}
	reportPlan struct {
		report  summary.Report
		holders []string // control addresses
		crashes []suspect.Crash
	}
	// newsHeard carries what a reply holds beside its subject, or crashes from
	// the log.
	newsHeard struct {
		offset   int64
		verdicts summary.Latches
		crashes  []suspect.Crash
	}
	// runStarted and runEnded frame the time of a request at the endpoint.
	runStarted struct {
		id          model.RequestID
		fingerprint uint64
	}
	runEnded struct{ id model.RequestID }
	// crashSeen reports that the endpoint's connection ended under a request.
	crashSeen struct {
		control.Question[crashVerdict]
		id  model.RequestID
		ran bool // false if the endpoint refused the connection
	}
	// crashHeard is a crash notice on its way through a tree. The reply lists
	// the hops to which it goes on.
	crashHeard struct {
		control.Question[[]member.Hop]
		crash suspect.Crash
		tree  int
	}
	// crashSpread ends the spreading of a crash.
	crashSpread struct{ id string }
	// leavingStarted makes the side leave.
	leavingStarted struct{}
)

func (takeReport) EventName() string     { return "take_report" }
func (newsHeard) EventName() string      { return "news_heard" }
func (runStarted) EventName() string     { return "run_started" }
func (runEnded) EventName() string       { return "run_ended" }
func (crashSeen) EventName() string      { return "crash_seen" }
func (crashHeard) EventName() string     { return "crash_heard" }
func (crashSpread) EventName() string    { return "crash_spread" }
func (leavingStarted) EventName() string { return "leaving_started" }

// crashVerdict answers crashSeen.
type crashVerdict struct {
	crash suspect.Crash // zero if nothing was in flight
	mine  bool          // the asker spreads the notice
	done  chan struct{} // closed when the notice is spread
	first []member.Hop  // the first process of each tree
}

// newsWindow is the time for which reports repeat the endpoint's own crashes.
const newsWindow = 10 * time.Second
