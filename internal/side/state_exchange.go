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

// exchangeState is the part of the control state for the control exchange.
type exchangeState struct {
	peers          *member.Peers
	peersConfig    *config.Accepted // configuration from which peers were derived; nil if the membership has changed since
	latches        summary.Latches
	peerOffset     int64                             // highest configuration offset received from a peer
	inFlight       map[model.RequestID]uint64        // fingerprints of the requests at the endpoint
	broadcasts     map[string]chan struct{}          // by id of a crash whose notice is being broadcast; closed when the broadcast ends
	crashByRequest map[model.RequestID]suspect.Crash // crash to which a request at the endpoint is assigned
	suspects       *suspect.Table
	refused        suspect.View     // immutable, replaced as a whole
	releasedConfig *config.Accepted // whose released fingerprints are applied to suspects
	crashCount     int              // crashes of the endpoint since the start
	isLeaving      bool             // the leaving notice is being or has been broadcast
	notices        summary.Notices
}

// exchangeView is the published part of exchangeState.
type exchangeView struct {
	Suspects   suspect.View
	Latches    summary.Latches
	PeerOffset int64 // highest configuration offset received from a peer
	Leaving    bool
}

func newExchangeState() exchangeState {
	return exchangeState{
		peers: &member.Peers{}, latches: summary.Latches{}, peerOffset: config.NoBase,
		inFlight: map[model.RequestID]uint64{}, broadcasts: map[string]chan struct{}{},
		crashByRequest: map[model.RequestID]suspect.Crash{}, suspects: suspect.NewTable(), notices: summary.Notices{},
	}
}

func (s *exchangeState) view() exchangeView {
	return exchangeView{Suspects: s.refused, Latches: s.latches.Clone(), PeerOffset: s.peerOffset, Leaving: s.isLeaving}
}

// Events of the control exchange.
type (
	// reportQuery asks for the next load report and the aggregators to send it to.
	reportQuery struct {
		control.Question[reportMessage]
	}
	reportMessage struct {
		report      summary.Report
		aggregators []string // control addresses
		crashes     []suspect.Crash
	}
	// gossipReceived carries the gossip piggybacked on a reply, or crashes from the
	// log.
	gossipReceived struct {
		offset  int64
		latches summary.Latches
		crashes []suspect.Crash
	}
	// runStarted and runEnded report the start and the end of a request at the
	// endpoint.
	runStarted struct {
		id          model.RequestID
		fingerprint uint64
	}
	runEnded struct{ id model.RequestID }
	// crashObserved reports that a request lost its connection to the endpoint or
	// that the endpoint refused the connection.
	crashObserved struct {
		control.Question[crashReply]
		id  model.RequestID
		ran bool // false if the endpoint refused the connection
	}
	// crashNoticeReceived carries a crash notice of a broadcast tree. The reply
	// lists the next hops.
	crashNoticeReceived struct {
		control.Question[[]member.Hop]
		crash suspect.Crash
		tree  int
	}
	// crashBroadcastDone reports the end of the broadcast of a crash notice.
	crashBroadcastDone struct{ id string }
	// leavingStarted marks the side as leaving.
	leavingStarted struct{}
)

func (reportQuery) EventName() string         { return "take_report" }
func (gossipReceived) EventName() string      { return "news_heard" }
func (runStarted) EventName() string          { return "run_started" }
func (runEnded) EventName() string            { return "run_ended" }
func (crashObserved) EventName() string       { return "crash_seen" }
func (crashNoticeReceived) EventName() string { return "crash_heard" }
func (crashBroadcastDone) EventName() string  { return "crash_spread" }
func (leavingStarted) EventName() string      { return "leaving_started" }

// crashReply is the reply to crashObserved.
type crashReply struct {
	crash     suspect.Crash // zero if nothing was in flight
	broadcast bool          // the receiver of the reply must broadcast the notice
	done      chan struct{} // closed when the broadcast has ended
	firstHops []member.Hop  // first hop of each broadcast tree
}

// crashGossipWindow is the time for which load reports carry a crash of this side's
// endpoint.
const crashGossipWindow = 10 * time.Second
