package standin

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
)

// FaultyLog is one process's view of a log service with faults. Its faults
// depend on the seed and the number of the call only.
type FaultyLog struct {
	Inner   logsvc.Log
	Shared  *LogFaults
	Seed    uint64
	Latency time.Duration
	gate    atomic.Pointer[chan struct{}]
	calls   atomic.Uint64
}

// LogFaults are the faults of the log service itself.
type LogFaults struct {
	Down       atomic.Bool  // every call fails
	LosePer    atomic.Int64 // of 1000 appends whose answer is lost after they took effect
	LatePer    atomic.Int64 // of 1000 appends that fail and take effect later
	RefusePer  atomic.Int64 // of 1000 appends that are refused, as over the rate limit
	Retain     atomic.Int64 // records of a claims stream that are kept; 0 means all
	ends       [64]atomic.Int64
	Lost, Late atomic.Int64 // injected so far
	Refused    atomic.Int64
	Appends    atomic.Int64
}

// lateAppend is how long after its error a late append takes effect.
const lateAppend = 500 * time.Millisecond

var errLogFault = eris.New("standin: the log service failed")

// Pause holds all calls until Resume, like a process that is stopped.
func (l *FaultyLog) Pause() {
	gate := make(chan struct{})
	l.gate.CompareAndSwap(nil, &gate) // a second pause joins the first
}

// Resume ends a pause.
func (l *FaultyLog) Resume() {
	if g := l.gate.Swap(nil); g != nil {
		close(*g)
	}
}

func (l *FaultyLog) enter(ctx context.Context) (*rand.Rand, error) {
	rng := rand.New(rand.NewPCG(l.Seed, l.calls.Add(1)))
	if g := l.gate.Load(); g != nil {
		<-*g // the deadline of ctx ends neither the pause nor a call that was already sent
	} else if err := wait(ctx, l.Latency); err != nil {
		return nil, err
	}
	if l.Shared.Down.Load() {
		return nil, errLogFault
	}
	return rng, nil
}

// Append implements logsvc.Log.
func (l *FaultyLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	rng, err := l.enter(ctx)
	if err != nil {
		return 0, err
	}
	f, claims := l.Shared, claimStream(stream)
	roll := rng.Int64N(1000)
	if claims < 0 {
		return l.Inner.Append(ctx, stream, data)
	}
	ctx = context.WithoutCancel(ctx)
	if roll < f.RefusePer.Load() {
		f.Refused.Add(1)
		return 0, errLogFault
	}
	if roll -= f.RefusePer.Load(); roll < f.LatePer.Load() {
		f.Late.Add(1)
		go func() {
			if wait(context.Background(), lateAppend) == nil {
				_, _ = l.append(context.Background(), claims, stream, data)
			}
		}()
		return 0, errLogFault
	}
	offset, err := l.append(ctx, claims, stream, data)
	if roll -= f.LatePer.Load(); err == nil && roll < f.LosePer.Load() {
		f.Lost.Add(1)
		return 0, errLogFault
	}
	return offset, err
}

func (l *FaultyLog) append(ctx context.Context, claims int, stream string, data []byte) (int64, error) {
	l.Shared.Appends.Add(1)
	offset, err := l.Inner.Append(ctx, stream, data)
	if end := &l.Shared.ends[claims]; err == nil {
		for old := end.Load(); old <= offset && !end.CompareAndSwap(old, offset+1); old = end.Load() {
		}
	}
	return offset, err
}

// Read implements logsvc.Log.
func (l *FaultyLog) Read(ctx context.Context, stream string, from int64, d time.Duration) (logsvc.Batch, error) {
	if _, err := l.enter(ctx); err != nil {
		return logsvc.Batch{}, err
	}
	claims := claimStream(stream)
	first := int64(0)
	if keep := l.Shared.Retain.Load(); keep > 0 && claims >= 0 {
		first = max(0, l.Shared.ends[claims].Load()-keep)
	}
	b, err := l.Inner.Read(ctx, stream, max(from, first), d)
	b.First = max(b.First, first)
	return b, err
}

// claimStream returns the number of a claims stream, or -1.
func claimStream(stream string) int {
	nr, ok := strings.CutPrefix(stream, "claims-")
	n, err := strconv.Atoi(nr)
	if !ok || err != nil || n < 0 || n > 63 {
		return -1
	}
	return n
}
