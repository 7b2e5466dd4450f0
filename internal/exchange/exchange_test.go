package exchange

import (
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

type EchoArgs struct{ Text string }

type echoService struct{ wait time.Duration }

func (s *echoService) Say(a EchoArgs, reply *EchoArgs) error {
	if s.wait > 0 {
		<-time.After(s.wait)
	}
	reply.Text = a.Text
	return nil
}

// startPair runs two nodes on in-memory connections: "a" calls, "b" serves.
func startPair(t *testing.T, wait time.Duration, keyA, keyB string) (*Node, *Node, *PipeNet, context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	pipes := NewPipeNet("a", "b")
	a := New(Config{Key: keyA, Budget: 100_000, Dial: pipes.Dialer("a")})
	b := New(Config{Key: keyB, Budget: 100_000, Dial: pipes.Dialer("b")})
	is.New(t).NoErr(b.Register("Echo", &echoService{wait}))
	go a.Run(ctx)
	go b.Run(ctx)
	go func() { _ = b.Serve(ctx, pipes.Listen("b")) }()
	return a, b, pipes, cancel
}

// failingListener fails to accept a few times, like one of a process that has no
// descriptor left.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// Guards against a node that accepts no peer any more after its process was out of
// descriptors for a moment.
func TestNodesAcceptAgainAfterErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		pipes := NewPipeNet("a", "b")
		a := New(Config{Key: "k", Budget: 100_000, Dial: pipes.Dialer("a")})
		b := New(Config{Key: "k", Budget: 100_000, Dial: pipes.Dialer("b")})
		is.NoErr(b.Register("Echo", &echoService{}))
		go a.Run(ctx)
		l := &failingListener{Listener: pipes.Listen("b"), failures: 5}
		go func() { _ = b.Serve(ctx, l) }()
		time.Sleep(time.Second) // longer than the waits after five errors
		reply, err := Call[EchoArgs](t.Context(), a, "b", "Echo.Say", EchoArgs{"hello"})
		is.NoErr(err)
		is.Equal(reply.Text, "hello")
	})
}

// Guards against a call that does not reach the peer, a second connection to
// the same peer, and byte counts that differ between the two ends.
func TestCallsShareOneConnectionAndAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b, _, cancel := startPair(t, 0, "k", "k")
		defer cancel()
		var sizes []int64
		for range 3 {
			before := a.Meter().Usage()
			reply, err := Call[EchoArgs](t.Context(), a, "b", "Echo.Say", EchoArgs{"hello"})
			is.NoErr(err)
			is.Equal(reply.Text, "hello")
			synctest.Wait()
			sizes = append(sizes, a.Meter().Usage().Total()-before.Total())
		}
		is.True(sizes[1] < sizes[0]) // type descriptions and the key are sent only once
		is.Equal(sizes[1], sizes[2])
		is.Equal(a.Meter().Usage().Out, b.Meter().Usage().In)
		is.Equal(a.Meter().Usage().In, b.Meter().Usage().Out)
	})
}

// Guards against a peer that can call a method with a wrong key, or without the
// hello call.
func TestUnauthenticatedPeersAreDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, _, pipes, cancel := startPair(t, 0, "wrong", "k")
		defer cancel()
		_, err := Call[EchoArgs](t.Context(), a, "b", "Echo.Say", EchoArgs{"hello"})
		is.True(err != nil && strings.Contains(err.Error(), "shared key"))

		conn, err := pipes.Dialer("x")(t.Context(), "b")
		is.NoErr(err)
		client := rpc.NewClient(conn)
		is.True(client.Call("Echo.Say", EchoArgs{"hello"}, &EchoArgs{}) != nil)
		is.True(errors.Is(client.Call("Echo.Say", EchoArgs{}, &EchoArgs{}), rpc.ErrShutdown))
	})
}

// Guards against a peer that connects, sends nothing and so occupies the server
// for ever.
func TestSilentPeerIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, _, pipes, cancel := startPair(t, 0, "k", "k")
		defer cancel()
		conn, err := pipes.Dialer("x")(t.Context(), "b")
		is.NoErr(err)
		start := time.Now()
		_, err = conn.Read(make([]byte, 1))
		is.True(err != nil)
		is.Equal(time.Since(start), helloTimeout)
	})
}

// Guards against a peer that does not reply and blocks the caller for longer
// than the call timeout, and against the reuse of a broken connection.
func TestCallIsBoundedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, _, _, cancel := startPair(t, time.Minute, "k", "k")
		start := time.Now()
		_, err := Call[EchoArgs](t.Context(), a, "b", "Echo.Say", EchoArgs{"x"})
		is.True(err != nil)
		is.Equal(time.Since(start), CallTimeout)
		_, err = Call[EchoArgs](t.Context(), a, "nobody", "Echo.Say", EchoArgs{"x"})
		is.True(err != nil)
		time.Sleep(2 * time.Minute) // the handler ends
		cancel()
	})
}

// Guards against a message whose announced size makes the decoder allocate too
// much memory; gob itself allows up to 1 GiB.
func TestLargeMessageIsRefusedByItsLength(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	go func() {
		_ = gob.NewEncoder(near).Encode(strings.Repeat("x", 5000))
		near.Close()
	}()
	var s string
	is.Equal(gob.NewDecoder(newMessageReader(far, 4096)).Decode(&s), errTooLarge)
	far.Close()
}

// Guards against connections that hold a large message each before they have shown the key
// of the fleet, and against the same bound on messages of peers that have.
func TestFirstMessageIsShort(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	go func() {
		enc := gob.NewEncoder(near)
		_ = enc.Encode(&rpc.Request{ServiceMethod: helloMethod})
		_ = enc.Encode(Hello{"k"})
		_ = enc.Encode(&rpc.Request{ServiceMethod: strings.Repeat("x", 5000)})
	}()
	c := newServerCodec(far, "k")
	is.NoErr(c.ReadRequestHeader(&rpc.Request{}))
	is.NoErr(c.ReadRequestBody(&Hello{}))
	is.NoErr(c.ReadRequestHeader(&rpc.Request{}))
	near.Close()
	far.Close()
	near, far = net.Pipe()
	defer near.Close()
	defer far.Close()
	go func() { _ = gob.NewEncoder(near).Encode(&rpc.Request{ServiceMethod: strings.Repeat("x", 5000)}) }()
	is.Equal(newServerCodec(far, "k").ReadRequestHeader(&rpc.Request{}), errTooLarge)
}

// Guards against a drop order that differs from docs/design.md, D2, and against
// a report interval longer than 4 s.
func TestDropOrder(t *testing.T) {
	is := is.New(t)
	m := NewMeter(1000)
	now := time.Now()
	state := func() [2]bool { return [2]bool{m.AllowDetails(now), m.Stretch(now) == 1} }
	is.Equal(state(), [2]bool{true, true})
	m.charge(now, 1100)
	is.Equal(state(), [2]bool{false, true})
	m.charge(now, 900)
	is.Equal(state(), [2]bool{false, false})
	requested := NewMeter(1000)
	requested.SetRequestedStretch(1.5)
	is.True(!requested.AllowDetails(now) && requested.Stretch(now) == 1.5)
	m.charge(now, 100_000)
	is.Equal(m.Stretch(now), MaxStretch)
}

// Guards against a reader that panics or accepts a message above the limit.
func FuzzMessageReader(f *testing.F) {
	f.Add([]byte{3, 1, 2, 3, 0xfe, 1, 0, 9})
	f.Add([]byte{0x80, 0xff, 0xff})
	f.Add([]byte{0xf8, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newMessageReader(strings.NewReader(string(data)), 64)
		got, _ := io.ReadAll(r)
		if !strings.HasPrefix(string(data), string(got)) {
			t.Fatalf("read %x from %x", got, data)
		}
		if r.left > 64+9 {
			t.Fatalf("message of %d bytes was accepted", r.left)
		}
	})
}

// bytesOverBudget returns the bytes a second above the budget for a sender that
// lengthens its interval by the stretch factor of the meter.
func bytesOverBudget(stretch bool) float64 {
	m := NewMeter(1000)
	m.stretchEnabled = stretch
	now, sent := time.Now(), 0
	end := now.Add(time.Minute)
	for now.Before(end) {
		sent += 1500
		m.charge(now, 1500)
		now = now.Add(time.Duration(float64(time.Second) * m.Stretch(now)))
	}
	return float64(sent)/60 - 1000
}

// Guards against control traffic that stays above the budget, as it does without
// the stretch.
func TestStretchKeepsTrafficWithinTheBudget(t *testing.T) {
	is := is.New(t)
	is.True(bytesOverBudget(true) <= 2000/60.0) // the burst, spread over the minute
	is.True(bytesOverBudget(false) > 2000/60.0) // the stretch is needed
}

// Guards against a message that is accepted although it is out of its bounds, or
// that makes the receiver panic.
func FuzzMessages(f *testing.F) {
	encode := func(v any) []byte {
		var b strings.Builder
		if err := gob.NewEncoder(&b).Encode(v); err != nil {
			f.Fatal(err)
		}
		return []byte(b.String())
	}
	f.Add(encode(ReportArgs{Endpoint: "e", Load: 1, News: News{Crashes: []Crash{{ID: "c", Fingerprints: []uint64{1}}}}}))
	f.Add(encode(GroupsArgs{Pool: "p", Sums: []GroupSum{{Load: 1, Endpoints: 2}}}))
	f.Add(encode(BorrowArgs{Wishes: []Wish{{Workspace: "w", Want: 1}}}))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		read := func(v any) bool {
			return gob.NewDecoder(newMessageReader(strings.NewReader(string(data)), 4096)).Decode(v) == nil
		}
		var report ReportArgs
		if read(&report) {
			if m, err := report.Model(); err == nil && (m.Load < 0 || m.Endpoint == "") {
				t.Fatalf("out of bounds: %+v", m)
			}
			if list, err := report.News.Model(time.Now()); err == nil && len(list) > maxCrashes {
				t.Fatalf("%d crashes", len(list))
			}
		}
		var groups GroupsArgs
		if read(&groups) {
			if m, err := groups.Model(); err == nil && len(m) > maxGroups {
				t.Fatalf("%d groups", len(m))
			}
		}
		var borrow BorrowArgs
		if read(&borrow) && borrow.Check() == nil && len(borrow.Wishes) > maxWishes {
			t.Fatalf("%d wishes", len(borrow.Wishes))
		}
	})
}
