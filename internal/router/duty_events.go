package router

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/duty"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Events of the duties of one router at a time.
type (
	// requestBegan says that a request of a workspace began to run at an endpoint.
	requestBegan struct {
		workspace model.Workspace
		at        time.Duration // boot time
	}
	// countsReceived carries the message of a peer and asks for the reply.
	countsReceived struct {
		control.Question[CountsReply]
		args CountsArgs
	}
	// countsAnswered carries the reply of a peer to a message.
	countsAnswered struct {
		router model.InstanceID
		rows   []duty.Row // of the message
		reply  CountsReply
		at     time.Duration // boot time halfway between message and reply
	}
	// countsPlan asks for the messages that are due.
	countsPlan struct {
		control.Question[countsPlanReply]
		all bool // to all peers, since this router has taken the duties
	}
	// holderSeen says which router holds the duties by the store.
	holderSeen struct {
		holder model.InstanceID
		token  duty.Token
	}
	// dutyTurn asks for what the source of the duties needs for its next step.
	dutyTurn struct {
		control.Question[dutyTurnReply]
		next    int64         // first window whose report may be started
		takenAt time.Duration // boot time at which the lease was taken; 0 if it is not held
	}
)

func (requestBegan) EventName() string   { return "request_began" }
func (countsReceived) EventName() string { return "counts_received" }
func (countsAnswered) EventName() string { return "counts_answered" }
func (countsPlan) EventName() string     { return "counts_plan" }
func (holderSeen) EventName() string     { return "duty_holder_seen" }
func (dutyTurn) EventName() string       { return "duty_turn" }

// countsMessage is a message to one peer.
type countsMessage struct {
	router  model.InstanceID
	address string
	through int64      // ns of true time; 0 if rows are left for the next message
	rows    []duty.Row // that the peer does not have
}

// countsPlanReply is the reply to countsPlan.
type countsPlanReply struct {
	messages []countsMessage
	holder   model.InstanceID
	token    duty.Token
	pause    time.Duration // until the next messages
}

// dutyTurnReply is the reply to dutyTurn.
type dutyTurnReply struct {
	at      time.Duration // boot time
	phase   Phase
	rank    int           // of this router among the live ones
	order   int           // in which this router may take over
	window  int64         // the current one
	ready   []duty.Report // in the order of their windows, which follow each other
	skip    int64         // the windows before it are no longer known
	routers int           // live ones, this one included
	// isolated says that this router hears less than half of the announced routers.
	isolated bool
	demand   []duty.Demand // of the pools whose endpoints can be ordered
}
