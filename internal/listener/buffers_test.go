package listener

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/inbound"
)

// Guards against receive buffers that exceed their quota since bodies have them enlarged,
// against a body that is refused since there is none, and against one that is not given back
// once.
func TestLargeBuffersAreBounded(t *testing.T) {
	is := is.New(t)
	const small, large = 2 * inbound.SmallBuffer, 2 * inbound.LargeBuffer
	// Room for two large buffers in the half for those.
	q := inbound.Quota{Descriptors: 1000, Bytes: 64 << 20, Buffers: 2 * (2*large + 8*small)}
	s := newTestServer(t, q, generousLimits)
	const size = 200_000
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	var conns []net.Conn
	for range 6 {
		c := s.open(head)
		_, err := io.WriteString(c, strings.Repeat("x", size-1))
		is.NoErr(err)
		conns = append(conns, c)
	}
	// The server has read nearly all of each body, so it has asked for what it wants.
	is.Equal(s.l.buffers.Load(), int64(2*large+4*small))
	for _, c := range conns {
		_, err := io.WriteString(c, "x")
		is.NoErr(err)
		is.Equal(status(c), http.StatusOK)
		_ = c.Close()
	}
	s.awaitNothingHeld()
	is.Equal(s.l.buffers.Load(), int64(0))
}

// Guards against connections that the kernel holds more bytes for than the quota says: those
// that were not accepted, and those that nobody reads.
func TestBuffersOfWaitingConnections(t *testing.T) {
	is := is.New(t)
	l, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_ = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
	sent := 0
	for block := make([]byte, 1<<10); err == nil; {
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		var n int
		n, err = c.Write(block)
		sent += n
	}
	// The buffers of both ends together: that of the sender takes more than its own size.
	is.True(sent <= 64<<10)
}
