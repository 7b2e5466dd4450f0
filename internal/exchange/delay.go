package exchange

import (
	"net"
	"sync"
	"time"
)

// delayedConn delivers written data after a delay, as a network does. PipeNet
// uses it.
type delayedConn struct {
	net.Conn
	delay       time.Duration
	partitioned func() bool // while it returns true, data whose delay ends is dropped
	dropping    bool        // data was dropped, so all later data is dropped as well
	queue       chan delayedWrite
	done        chan struct{}
	once        sync.Once
}

type delayedWrite struct {
	data []byte
	due  time.Time
}

// maxDelayedWrites bounds the writes that are not delivered yet. Further writes
// block.
const maxDelayedWrites = 256

func newDelayedConn(c net.Conn, delay time.Duration, partitioned func() bool) *delayedConn {
	d := &delayedConn{Conn: c, delay: delay, partitioned: partitioned, queue: make(chan delayedWrite, maxDelayedWrites), done: make(chan struct{})}
	go d.deliver()
	return d
}

func (d *delayedConn) Write(p []byte) (int, error) {
	select {
	case d.queue <- delayedWrite{append([]byte(nil), p...), time.Now().Add(d.delay)}:
		return len(p), nil
	case <-d.done:
		return 0, net.ErrClosed
	}
}

// Close delivers the pending writes and then closes the connection.
func (d *delayedConn) Close() error {
	d.once.Do(func() {
		close(d.done)
		_ = d.Conn.SetWriteDeadline(time.Now().Add(d.delay + time.Second))
	})
	return nil
}

func (d *delayedConn) deliver() {
	defer d.Conn.Close()
	for {
		select {
		case w := <-d.queue:
			if !d.send(w) {
				return
			}
		case <-d.done:
			for {
				select {
				case w := <-d.queue:
					if !d.send(w) {
						return
					}
				default:
					return
				}
			}
		}
	}
}

func (d *delayedConn) send(w delayedWrite) bool {
	t := time.NewTimer(time.Until(w.due))
	defer t.Stop()
	<-t.C
	if d.dropping = d.dropping || d.partitioned(); d.dropping {
		return true
	}
	_, err := d.Conn.Write(w.data)
	return err == nil
}
