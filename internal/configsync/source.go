package configsync

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
)

// Peers reaches the other processes of the fleet.
type Peers interface {
	// Addresses returns the control addresses of live peers, and false as long
	// as nothing is known about the fleet.
	Addresses() ([]string, bool)
	// Fetch asks the peer at address and returns its answer and the bytes that
	// the exchange took.
	Fetch(ctx context.Context, address string, req config.FetchRequest) (config.FetchReply, int, error)
}

// Options are the parts and settings of a Source.
type Options struct {
	Log      *slog.Logger
	Logs     logsvc.Log
	Loop     control.Poster
	View     func() config.View // published by the loop
	Peers    Peers              // nil without peers
	RandIntN func(n int) int    // random choice below n
	Budget   int64              // bytes a second of control traffic
	Period   time.Duration      // between questions to a random peer; 0 means pullPeriod
	Stretch  func() float64     // factor on Period while the control budget is used up; nil means 1
}

// Source brings configuration from the log and from peers to the control loop.
type Source struct {
	o       Options
	heard   chan string   // address of a peer that is ahead
	changed chan struct{} // the accepted configuration changed
	pages   *rate.Limiter
	lookups *rate.Limiter
}

// Times of a source.
const (
	// pullPeriod is the time between questions to a random peer. Entries tell
	// each other of a change at once, so a side that only pulls learns it within
	// about one period, also while the log hangs without an error.
	pullPeriod = time.Second
	// tellPeers is the number of peers that a process tells of a change.
	tellPeers = 2
	// startWait is how long a new process looks for peers before it reads the
	// log, whose snapshots are far larger than what one peer sends.
	startWait  = 2 * time.Second
	startCheck = 100 * time.Millisecond
	// startPeers is the number of peers whose state a new process compares, so
	// that one that lags does not decide.
	startPeers = 3
	// afterAll is an offset that no stream reaches.
	afterAll = 1 << 60
)

// loadShare is the part of the control budget that a load of workspaces may
// take; reports need the rest.
const loadShare = 0.75

// NewSource returns a source. Run starts it.
func NewSource(o Options) *Source {
	if o.Period == 0 {
		o.Period = pullPeriod
	}
	if o.Stretch == nil {
		o.Stretch = func() float64 { return 1 }
	}
	share := loadShare * float64(o.Budget)
	return &Source{o: o, heard: make(chan string, 1), changed: make(chan struct{}, 1), pages: rate.NewLimiter(rate.Limit(share), pageBurst), lookups: newLookupLimit()}
}

// pageBurst is what may be sent at once: two pages of about 7 KB.
const pageBurst = 16 << 10

// NotifyOffset tells the source that the peer at address has accepted offset. It may
// be called from any goroutine and does not wait.
func (s *Source) NotifyOffset(address string, offset int64) {
	if address == "" || offset <= s.o.View().Accepted.Offset {
		return
	}
	select {
	case s.heard <- address:
	default:
	}
}

// Run keeps the configuration up to date until ctx ends.
func (s *Source) Run(ctx context.Context) {
	if s.o.Peers == nil {
		s.followLog(ctx)
		return
	}
	s.start(ctx)
	s.loadPages(ctx)
	stop := s.startLog(ctx)
	defer func() { stop() }()
	timer := time.NewTimer(s.o.Period)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-s.heard:
			s.pull(ctx, address)
		case <-s.changed:
			// A question carries the asker's offset; a peer behind it asks back.
			for range tellPeers {
				s.pullAny(ctx)
			}
		case <-timer.C:
			timer.Reset(time.Duration(float64(s.o.Period) * s.o.Stretch()))
			s.pullAny(ctx)
		}
		if s.o.View().Accepted.Loading {
			stop()
			s.loadPages(ctx)
			stop = s.startLog(ctx)
		}
	}
}

// start asks a few peers for their state, after it has learned where the
// retained part of the log begins.
func (s *Source) start(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	if b, err := s.o.Logs.Read(limit, config.Stream, afterAll, 0); err == nil {
		_, _ = s.read(limit, config.Batch{First: b.First})
	}
	check := time.NewTicker(startCheck)
	defer check.Stop()
	for asked := 0; asked < startPeers; {
		addresses, known := s.o.Peers.Addresses()
		if len(addresses) > 0 {
			s.pull(limit, addresses[s.o.RandIntN(len(addresses))])
			asked++
			continue
		}
		if known {
			return
		}
		select {
		case <-limit.Done():
			return
		case <-check.C:
		}
	}
}

// pullAny asks a random peer.
func (s *Source) pullAny(ctx context.Context) {
	if address := s.anyPeer(); address != "" {
		s.pull(ctx, address)
	}
}

// anyPeer returns the address of a random peer, or "" if there is none.
func (s *Source) anyPeer() string {
	addresses, _ := s.o.Peers.Addresses()
	if len(addresses) == 0 {
		return ""
	}
	return addresses[s.o.RandIntN(len(addresses))]
}

// pull asks one peer for what this process lacks.
func (s *Source) pull(ctx context.Context, address string) {
	s.ask(ctx, address, config.FetchRequest{From: s.o.View().Accepted.Offset})
}

// ask sends one request and has the loop apply its answer.
func (s *Source) ask(ctx context.Context, address string, req config.FetchRequest) (bool, config.FetchReply) {
	reply, size, err := s.o.Peers.Fetch(ctx, address, req)
	if err != nil {
		return false, reply
	}
	s.pages.ReserveN(time.Now(), min(size, pageBurst))
	if reply.Offset < req.From || reply.Offset == req.From && req.Want == config.WantChanges {
		return false, reply
	}
	changed, err := control.Ask(ctx, s.o.Loop, PeerReplied{Question: control.NewQuestion[bool](), Request: req, PeerReply: reply})
	if err == nil && changed {
		s.note()
	}
	return err == nil && changed, reply
}

// read has the loop apply a read of the log.
func (s *Source) read(ctx context.Context, b config.Batch) (bool, error) {
	return control.Ask(ctx, s.o.Loop, LogRead{Question: control.NewQuestion[bool](), Batch: b})
}

// note makes Run tell peers of a change.
func (s *Source) note() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// loadPages loads the workspaces that are still missing, paced by the budget.
func (s *Source) loadPages(ctx context.Context) {
	for ctx.Err() == nil {
		view := s.o.View()
		if !view.Accepted.Loading {
			return
		}
		if !s.loadPage(ctx, view) {
			control.Pause(ctx, startCheck)
		}
	}
}

func (s *Source) loadPage(ctx context.Context, view config.View) bool {
	address := s.anyPeer()
	// The size of a page is known only afterwards, so the wait is for the one
	// before to be paid off.
	if address == "" || s.pages.Wait(ctx) != nil {
		return false
	}
	changed, _ := s.ask(ctx, address, view.NextRequest())
	return changed
}

// startLog follows the log in its own goroutine until stop is called.
func (s *Source) startLog(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	g.Go(func() error { s.followLog(ctx); return nil })
	return func() { cancel(); _ = g.Wait() }
}

func (s *Source) followLog(ctx context.Context) {
	each := func(b logsvc.Batch) {
		if changed, err := s.read(ctx, decode(b)); err == nil && changed {
			s.note()
		}
	}
	failed := func(err error) { s.o.Log.Warn("log service cannot be read", "stream", config.Stream, "error", err) }
	logsvc.Follow(ctx, s.o.Logs, config.Stream, s.o.View().Accepted.Offset+1, each, failed)
}

// decode decodes the records of a read outside the control loop.
func decode(b logsvc.Batch) config.Batch {
	out := config.Batch{First: b.First}
	for _, r := range b.Records {
		rec, err := config.Decode(r.Data)
		out.Entries = append(out.Entries, config.LogEntry{Offset: r.Offset, At: time.UnixMilli(r.AppendedMS), Record: rec, Err: err})
	}
	return out
}
