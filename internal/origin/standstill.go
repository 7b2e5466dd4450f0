package origin

import (
	"sync/atomic"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/boottime"
)

// standstillTick is the time between two looks at the clock. It is short against maxEndAge.
const standstillTick = 200 * time.Millisecond

// standstills notices when the process did not run for maxEndAge, as a frozen process or a
// suspended machine does not. Its goroutine runs while requests are in flight.
type standstills struct {
	now      func() time.Duration // since the machine booted, including suspensions
	inFlight atomic.Int64
	running  atomic.Bool
	lastTick atomic.Int64 // of now
	lastEnd  atomic.Int64 // of now, when the last standstill had ended; 0 for none
}

// begin is called when a request is sent, and end when its answer has been read.
func (s *standstills) begin() {
	s.inFlight.Add(1)
	s.start()
}

func (s *standstills) end() { s.inFlight.Add(-1) }

func (s *standstills) start() {
	if s.running.CompareAndSwap(false, true) {
		s.lastTick.Store(int64(s.now()))
		go s.run()
	}
}

func (s *standstills) run() {
	t := time.NewTicker(standstillTick)
	defer t.Stop()
	for range t.C {
		s.tick()
		if s.inFlight.Load() == 0 {
			break
		}
	}
	s.running.Store(false)
	if s.inFlight.Load() > 0 { // a request has begun since, and saw this goroutine running
		s.start()
	}
}

func (s *standstills) tick() {
	now := s.now()
	if now-time.Duration(s.lastTick.Load()) > maxEndAge {
		s.lastEnd.Store(int64(now))
	}
	s.lastTick.Store(int64(now))
}

// since reports whether the process stood still at some time after begin. It is called while a
// request is in flight.
func (s *standstills) since(begin time.Duration) bool {
	last := time.Duration(s.lastTick.Load())
	return s.now()-last > maxEndAge || time.Duration(s.lastEnd.Load()) > begin
}

func newStandstills() *standstills { return &standstills{now: boottime.Now} }
