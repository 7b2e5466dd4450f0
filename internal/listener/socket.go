package listener

import (
	"context"
	"net"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/inbound"
	"github.com/goldcrestturn/goldcrestturn/internal/socket"
)

// backlog is the number of connections that wait to be accepted, each with a small receive
// buffer. A starting process accepts none for up to two seconds.
const backlog = 512

// Listen listens on a TCP address. Its connections have small receive buffers, also those
// that have not been accepted, since callers send before that. The kernel would otherwise
// let each grow to some megabytes.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: socket.Control(socket.ReceiveBuffer(inbound.SmallBuffer))}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = socket.Set(raw, socket.Backlog(backlog))
	}
	if err != nil {
		_ = l.Close()
		return nil, eris.Wrap(err, "listener: the backlog cannot be set")
	}
	return l, nil
}
