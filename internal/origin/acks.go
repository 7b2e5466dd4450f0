package origin

import (
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// ackTimeout is how long the endpoint's machine may acknowledge nothing of a request before
	// the connection is reset.
	ackTimeout = 700 * time.Millisecond
	// ackCheckInterval is the time between two looks at a connection.
	ackCheckInterval = 100 * time.Millisecond
)

// ackWatch gives a connection up while its request is held up. The kernel's own timeout ends
// the connection without a reset, so that what a partition holds up may still arrive.
type ackWatch struct {
	cn       *conn
	timer    *time.Timer
	held     atomic.Bool // the connection was given up
	progress [2]int64    // bytes written and unacknowledged at the last change
	since    time.Time   // of that change
}

// watchAcks begins to watch the request that is being sent on c.
func (c *conn) watchAcks() *ackWatch {
	w := &ackWatch{cn: c, since: time.Now()}
	w.timer = time.AfterFunc(ackCheckInterval, w.check)
	return w
}

func (w *ackWatch) check() {
	outstanding, err := unacknowledged(w.cn.Conn)
	if err != nil || outstanding == 0 && w.cn.sent.Load() {
		return
	}
	now, progress := time.Now(), [2]int64{w.cn.written.Load(), outstanding}
	switch {
	case w.progress == [2]int64{}:
		w.progress = progress // nothing is known of what was acknowledged since the begin
	case progress != w.progress || outstanding == 0:
		w.progress, w.since = progress, now
	case now.Sub(w.since) >= ackTimeout:
		w.held.Store(true)
		w.cn.giveUp()
		return
	}
	w.timer.Reset(ackCheckInterval)
}

func (w *ackWatch) stop() { w.timer.Stop() }

// unacknowledged returns the number of bytes that were sent to the peer of a TCP connection and
// that it has not acknowledged. Bytes for which the peer has no room are not sent.
func unacknowledged(c net.Conn) (n int64, err error) {
	failed := withDescriptor(c, func(fd int) {
		var queued, unsent int
		if queued, err = unix.IoctlGetInt(fd, unix.TIOCOUTQ); err == nil {
			unsent, err = unix.IoctlGetInt(fd, unix.SIOCOUTQNSD)
		}
		n = int64(queued - unsent)
	})
	if failed != nil {
		err = failed
	}
	return n, err
}
