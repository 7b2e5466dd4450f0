package router

import (
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// lateReader answers a query after the milliseconds in its position, with a reply that
// takes milliseconds to decode.
type lateReader struct{}

// State implements the RPC method storeMethod.
func (lateReader) State(args StateArgs, reply *StateReply) error {
	time.Sleep(time.Duration(args.Position) * time.Millisecond)
	*reply = StateReply{Position: args.Position, Evacuated: make([]model.DataCentre, 20_000)}
	for i := range reply.Evacuated {
		reply.Evacuated[i] = "akl-a"
	}
	return nil
}

// Guards against a router that reads the reply of a query that has timed out while the
// connection's goroutine still decodes into it: it would apply a mixture of two states.
// Only the race detector shows it. The replies arrive around the timeout.
func TestRepliesAfterTheTimeoutAreNotRead(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	peer := exchange.New(exchange.Config{Key: exchangeKey})
	is.NoErr(peer.Register(storeService, lateReader{}))
	go func() { _ = peer.Serve(t.Context(), listener) }()
	var calls errgroup.Group
	for delay := queryTimeout / 2; delay < queryTimeout+20*time.Millisecond; delay += 2 * time.Millisecond {
		calls.Go(func() error {
			r := &Router{node: exchange.New(exchange.Config{Key: exchangeKey}), gate: newStoreGate()}
			go r.node.Run(t.Context())
			reply, err := r.callReader(t.Context(), listener.Addr().String(), &Snapshot{Listed: true, Position: Position{Offset: delay.Milliseconds()}})
			if err != nil && !reflect.DeepEqual(reply, StateReply{}) {
				t.Error("a failed query returned a reply")
			}
			return nil
		})
	}
	is.NoErr(calls.Wait())
}
