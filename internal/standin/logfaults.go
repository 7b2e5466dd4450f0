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
// depend only on the seed and the number of the call.
type FaultyLog struct {
	Inner   logsvc.Log
	Shared  *LogFaults
	Seed    uint64
	Latency time.Duration
	gate    atomic.Pointer[chan struct{}] // closed to end a pause; nil without one
	calls   atomic.Uint64
}

// LogFaults are the faults of the log service itself, common to all processes.
// LosePer, LatePer and RefusePer are shares of the appends to claims streams, per
// 1000.
type LogFaults struct {
	Down        atomic.Bool  // every call fails
	LosePer     atomic.Int64 // appends that take effect and lose their answer
	LatePer     atomic.Int64 // appends that fail and take effect later
	RefusePer   atomic.Int64 // appends that are refused, as over the rate limit
	Retain      atomic.Int64 // records retained in a claims stream; 0 means all
	nextOffsets [64]atomic.Int64
	Lost, Late  atomic.Int64 // faults injected so far
	Refused     atomic.Int64
	Appends     atomic.Int64
}

// lateAppendDelay is the time between the error of a late append and its effect.
const lateAppendDelay = 500 * time.Millisecond

var errLogFault = eris.New("standin: the log service failed")

// Pause blocks all calls until Resume, as if the process were suspended.
func (l *FaultyLog) Pause() {
	gate := make(chan struct{})
	l.gate.CompareAndSwap(nil, &gate) // a second Pause has no effect
}

// Resume ends a pause.
func (l *FaultyLog) Resume() {
	if g := l.gate.Swap(nil); g != nil {
		close(*g)
	}
}

// beginCall applies a pause, the latency and an outage to a call. It returns the
// source of randomness of the call.
func (l *FaultyLog) beginCall(ctx context.Context) (*rand.Rand, error) {
	rng := rand.New(rand.NewPCG(l.Seed, l.calls.Add(1)))
	if g := l.gate.Load(); g != nil {
		<-*g // the deadline of ctx ends neither the pause nor a call that was sent before it
	} else if err := simulateLatency(ctx, l.Latency); err != nil {
		return nil, err
	}
	if l.Shared.Down.Load() {
		return nil, errLogFault
	}
	return rng, nil
}

// Append implements logsvc.Log.
func (l *FaultyLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	rng, err := l.beginCall(ctx)
	if err != nil {
		return 0, err
	}
	f, claimStream := l.Shared, claimStreamNumber(stream)
	roll := rng.Int64N(1000)
	if claimStream < 0 {
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
			if simulateLatency(context.Background(), lateAppendDelay) == nil {
				_, _ = l.append(context.Background(), claimStream, stream, data)
			}
		}()
		return 0, errLogFault
	}
	offset, err := l.append(ctx, claimStream, stream, data)
	if roll -= f.LatePer.Load(); err == nil && roll < f.LosePer.Load() {
		f.Lost.Add(1)
		return 0, errLogFault
	}
	return offset, err
}

// append appends a record to a claims stream and notes the new end of the stream,
// from which Retain is counted.
func (l *FaultyLog) append(ctx context.Context, claimStream int, stream string, data []byte) (int64, error) {
	l.Shared.Appends.Add(1)
	offset, err := l.Inner.Append(ctx, stream, data)
	if end := &l.Shared.nextOffsets[claimStream]; err == nil {
		for old := end.Load(); old <= offset && !end.CompareAndSwap(old, offset+1); old = end.Load() {
		}
	}
	return offset, err
}

// Read implements logsvc.Log.
func (l *FaultyLog) Read(ctx context.Context, stream string, from int64, d time.Duration) (logsvc.Batch, error) {
	if _, err := l.beginCall(ctx); err != nil {
		return logsvc.Batch{}, err
	}
	claimStream := claimStreamNumber(stream)
	first := int64(0)
	if retain := l.Shared.Retain.Load(); retain > 0 && claimStream >= 0 {
		first = max(0, l.Shared.nextOffsets[claimStream].Load()-retain)
	}
	b, err := l.Inner.Read(ctx, stream, max(from, first), d)
	b.First = max(b.First, first)
	return b, err
}

// claimStreamNumber returns the number of a claims stream, or -1 for any other
// stream.
func claimStreamNumber(stream string) int {
	suffix, ok := strings.CutPrefix(stream, "claims-")
	n, err := strconv.Atoi(suffix)
	if !ok || err != nil || n < 0 || n > 63 {
		return -1
	}
	return n
}
