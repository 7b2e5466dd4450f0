package exchange

import (
	"net"
	"sync"
	"time"
)

// delayedConn delivers what is written to it after a time, as a network does.
// It belongs to PipeNet.
type delayedConn struct {
	net.Conn
	delay time.Duration
	cut   func() bool // what is sent while it holds is lost, and all after it
	lost  bool
	queue chan delayedWrite
	done  chan struct{}
	once  sync.Once
}

type delayedWrite struct {
	data []byte
	due  time.Time
}

// delayQueue bounds the writes on their way. More block the writer.
const delayQueue = 256

func newDelayedConn(c net.Conn, delay time.Duration, cut func() bool) *delayedConn {
	d := &delayedConn{Conn: c, delay: delay, cut: cut, queue: make(chan delayedWrite, delayQueue), done: make(chan struct{})}
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

// Close delivers what is on its way and then closes the connection.
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
	if d.lost = d.lost || d.cut(); d.lost {
		return true
	}
	_, err := d.Conn.Write(w.data)
	return err == nil
}
