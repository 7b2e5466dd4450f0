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
	// Addresses returns the control addresses of live peers. It returns false as
	// long as no instance of the fleet is known.
	Addresses() ([]string, bool)
	// Fetch sends req to the peer at address and returns its reply and the size
	// of the reply in bytes.
	Fetch(ctx context.Context, address string, req config.FetchRequest) (config.FetchReply, int, error)
}

// Options are the parts and settings of a Source.
type Options struct {
	Log          *slog.Logger
	Logs         logsvc.Log
	Loop         control.Poster
	View         func() config.View // as published by the control loop
	Peers        Peers              // nil without peers
	RandIntN     func(n int) int    // returns a random number from 0 to n-1
	Budget       int64              // control budget in bytes a second
	PullInterval time.Duration      // between pulls from a random peer; 0 means pullInterval
	Stretch      func() float64     // factor on PullInterval while the control budget is used up; nil means 1
}

// Source passes configuration from the log and from peers to the control loop.
type Source struct {
	opts          Options
	peersAhead    chan string   // address of a peer with a newer configuration
	changed       chan struct{} // signals that the accepted configuration changed
	pageLimiter   *rate.Limiter
	lookupLimiter *rate.Limiter
}

// Times and counts of a source.
const (
	// pullInterval is the time between pulls from a random peer. Entries notify
	// each other of a change at once, so a side that only pulls receives it
	// within about one interval, even while the log hangs without an error.
	pullInterval = time.Second
	// notifyPeers is the number of peers that a process notifies of a change.
	notifyPeers = 2
	// startTimeout is how long a new process looks for peers, whose replies are far
	// smaller than the snapshots in the log, before it reads the log.
	startTimeout      = 2 * time.Second
	peerCheckInterval = 100 * time.Millisecond // between checks for peers that can be asked
	// startPeers is the number of peers whose state a new process compares, so
	// that a single stale peer does not determine the result.
	startPeers = 3
	// beyondAnyOffset is an offset that no stream reaches.
	beyondAnyOffset = 1 << 60
)

// loadShare is the fraction of the control budget that a load of workspaces may
// use; load reports need the rest.
const loadShare = 0.75

// NewSource returns a source. Run starts it.
func NewSource(o Options) *Source {
	if o.PullInterval == 0 {
		o.PullInterval = pullInterval
	}
	if o.Stretch == nil {
		o.Stretch = func() float64 { return 1 }
	}
	share := loadShare * float64(o.Budget)
	return &Source{opts: o, peersAhead: make(chan string, 1), changed: make(chan struct{}, 1), pageLimiter: rate.NewLimiter(rate.Limit(share), pageBurstBytes), lookupLimiter: newLookupLimiter()}
}

// pageBurstBytes may be loaded in one burst: two pages of about 7 KB.
const pageBurstBytes = 16 << 10

// NotifyOffset tells the source that the peer at address has accepted offset. It
// may be called from any goroutine and does not block.
func (s *Source) NotifyOffset(address string, offset int64) {
	if address == "" || offset <= s.opts.View().Accepted.Offset {
		return
	}
	select {
	case s.peersAhead <- address:
	default:
	}
}

// Run keeps the configuration up to date until ctx ends.
func (s *Source) Run(ctx context.Context) {
	if s.opts.Peers == nil {
		s.followLog(ctx)
		return
	}
	s.pullInitialState(ctx)
	s.loadPages(ctx)
	stop := s.startLog(ctx)
	defer func() { stop() }()
	timer := time.NewTimer(s.opts.PullInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-s.peersAhead:
			s.pull(ctx, address)
		case <-s.changed:
			// A request carries the offset of its sender; a peer with an older
			// configuration pulls from the sender in turn.
			for range notifyPeers {
				s.pullRandomPeer(ctx)
			}
		case <-timer.C:
			timer.Reset(time.Duration(float64(s.opts.PullInterval) * s.opts.Stretch()))
			s.pullRandomPeer(ctx)
		}
		if s.opts.View().Accepted.Loading {
			stop()
			s.loadPages(ctx)
			stop = s.startLog(ctx)
		}
	}
}

// pullInitialState pulls from a few peers after it has read where the retained
// part of the log begins.
func (s *Source) pullInitialState(ctx context.Context) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if b, err := s.opts.Logs.Read(startCtx, config.Stream, beyondAnyOffset, 0); err == nil {
		_, _ = s.applyLogBatch(startCtx, config.Batch{First: b.First})
	}
	ticker := time.NewTicker(peerCheckInterval)
	defer ticker.Stop()
	for pulls := 0; pulls < startPeers; {
		addresses, known := s.opts.Peers.Addresses()
		if len(addresses) > 0 {
			s.pull(startCtx, addresses[s.opts.RandIntN(len(addresses))])
			pulls++
			continue
		}
		if known {
			return
		}
		select {
		case <-startCtx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pullRandomPeer pulls from a random peer.
func (s *Source) pullRandomPeer(ctx context.Context) {
	if address := s.randomPeer(); address != "" {
		s.pull(ctx, address)
	}
}

// randomPeer returns the address of a random peer, or "" if there is none.
func (s *Source) randomPeer() string {
	addresses, _ := s.opts.Peers.Addresses()
	if len(addresses) == 0 {
		return ""
	}
	return addresses[s.opts.RandIntN(len(addresses))]
}

// pull fetches the records that this process does not have from one peer.
func (s *Source) pull(ctx context.Context, address string) {
	s.fetchAndApply(ctx, address, config.FetchRequest{From: s.opts.View().Accepted.Offset})
}

// fetchAndApply sends one request and has the control loop apply the reply. It
// reports whether the accepted configuration changed.
func (s *Source) fetchAndApply(ctx context.Context, address string, req config.FetchRequest) (bool, config.FetchReply) {
	reply, size, err := s.opts.Peers.Fetch(ctx, address, req)
	if err != nil {
		return false, reply
	}
	s.pageLimiter.ReserveN(time.Now(), min(size, pageBurstBytes))
	if reply.Offset < req.From || reply.Offset == req.From && req.Want == config.WantChanges {
		return false, reply
	}
	changed, err := control.Ask(ctx, s.opts.Loop, PeerReplied{Question: control.NewQuestion[bool](), Request: req, PeerReply: reply})
	if err == nil && changed {
		s.notifyChanged()
	}
	return err == nil && changed, reply
}

// applyLogBatch has the control loop apply a read of the log. It reports whether
// the accepted configuration changed.
func (s *Source) applyLogBatch(ctx context.Context, b config.Batch) (bool, error) {
	return control.Ask(ctx, s.opts.Loop, LogRead{Question: control.NewQuestion[bool](), Batch: b})
}

// notifyChanged makes Run notify peers of a change.
func (s *Source) notifyChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// loadPages loads the workspaces that are still missing, limited by the control
// budget.
func (s *Source) loadPages(ctx context.Context) {
	for ctx.Err() == nil {
		view := s.opts.View()
		if !view.Accepted.Loading {
			return
		}
		if !s.loadPage(ctx, view) {
			control.Pause(ctx, peerCheckInterval)
		}
	}
}

func (s *Source) loadPage(ctx context.Context, view config.View) bool {
	address := s.randomPeer()
	// The size of a page is known only after its transfer, so this waits until
	// the budget has recovered from the page before.
	if address == "" || s.pageLimiter.Wait(ctx) != nil {
		return false
	}
	changed, _ := s.fetchAndApply(ctx, address, view.NextRequest())
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
		if changed, err := s.applyLogBatch(ctx, decode(b)); err == nil && changed {
			s.notifyChanged()
		}
	}
	failed := func(err error) { s.opts.Log.Warn("log service cannot be read", "stream", config.Stream, "error", err) }
	logsvc.Follow(ctx, s.opts.Logs, config.Stream, s.opts.View().Accepted.Offset+1, each, failed)
}

// decode decodes the records of a read. It runs outside the control loop.
func decode(b logsvc.Batch) config.Batch {
	out := config.Batch{First: b.First}
	for _, r := range b.Records {
		rec, err := config.Decode(r.Data)
		out.Entries = append(out.Entries, config.LogEntry{Offset: r.Offset, At: time.UnixMilli(r.AppendedMS), Record: rec, Err: err})
	}
	return out
}
