package router

import (
	"context"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
)

// The names of the RPC service and its method are short because each call carries them.
const (
	countsService = "D"
	countsMethod  = "D.Counts"
)

// CountsArgs carries the usage counts that a router sends to another one. net/rpc writes it
// with gob, so the names of its fields are part of the protocol.
type CountsArgs struct {
	Router  string
	Process uint64 // distinguishes processes with one name
	Wall    int64  // ns since 1970 by the clock of the sender
	// Through is the true time, in ns since 1970, up to which the receiver has all that
	// the sender counted, once it has the rows; 0 if it does not.
	Through int64
	Holder  string // router that holds the duties, as far as the sender knows
	Token   uint64 // of the holder
	Rows    []CountsRow
}

// CountsRow holds the requests that one process counted in one window so far.
type CountsRow struct {
	Router  string
	Process uint64
	Window  int64
	Counts  map[string]int64 // by workspace
}

// CountsReply is the reply to CountsArgs.
type CountsReply struct {
	Taken   bool // all rows; the clock of a router that starts may show another window
	Process uint64
	Wall    int64
	Holder  string
	Token   uint64
}

// countsServer passes the counts of peers to the control loop.
type countsServer struct {
	ctx  context.Context
	loop control.Poster
}

// Counts implements the RPC method countsMethod.
func (s *countsServer) Counts(args CountsArgs, reply *CountsReply) error {
	r, err := control.Ask(s.ctx, s.loop, countsReceived{Question: control.NewQuestion[CountsReply](), args: args})
	*reply = r
	return err
}
