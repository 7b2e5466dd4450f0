package side

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

type noLog struct{}

func (noLog) Append(context.Context, string, []byte) (int64, error) { return 0, io.ErrClosedPipe }
func (noLog) Read(context.Context, string, int64, time.Duration) (logsvc.Batch, error) {
	return logsvc.Batch{}, io.ErrClosedPipe
}

type noList struct{}

func (noList) Since(context.Context, int64, time.Duration) (instances.Changes, error) {
	return instances.Changes{}, io.ErrClosedPipe
}

func crashSide(t *testing.T) (*Side, context.CancelFunc) {
	t.Helper()
	pipes := exchange.NewPipeNet()
	p := New(Settings{Instance: "engine-0", Pool: "chat"}, Deps{
		Log: slog.New(slog.DiscardHandler), Logs: noLog{}, List: noList{}, Dial: pipes.Dialer("engine-0"),
	})
	ctx, cancel := context.WithCancel(t.Context())
	go p.loop.Run(ctx)
	return p, cancel
}

func crashed() error {
	return &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonCrashed}
}

// runUntil runs a request that ends with err when end is closed.
func runUntil(ctx context.Context, p *Side, id model.RequestID, fingerprint uint64, end <-chan struct{}, err error) <-chan error {
	out := make(chan error, 1)
	go func() {
		_, got := watchCrash{p}.Handle(ctx, &model.Request{ID: id, Fingerprint: fingerprint}, func(context.Context, *model.Request) (*model.Answer, error) {
			<-end
			return nil, err
		})
		out <- got
	}()
	return out
}

// Guards against one crash that counts once for each request in flight, which
// would refuse every innocent request, and against a refusal that does not name
// the crash.
func TestRequestsInFlightShareOneCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, cancel := crashSide(t)
		defer cancel()
		end := make(chan struct{})
		a := runUntil(t.Context(), p, "a", 1, end, crashed())
		b := runUntil(t.Context(), p, "b", 2, end, crashed())
		synctest.Wait()
		close(end)
		first, second := model.AsRefusal(<-a), model.AsRefusal(<-b)
		is.True(first.Crash != "")
		is.Equal(first.Crash, second.Crash)
		synctest.Wait()
		is.Equal(len(p.loop.Snapshot().Suspects), 0)
		// The request that runs again and crashes the endpoint again is refused.
		again := runUntil(t.Context(), p, "c", 1, end, crashed())
		is.True(model.AsRefusal(<-again).Crash != first.Crash)
		synctest.Wait()
		view := p.loop.Snapshot().Suspects
		is.True(view.RemainingTime(1, time.Now()) > 0)
		is.Equal(view.RemainingTime(2, time.Now()), time.Duration(0))
		_, err := guard{p.loop.Snapshot}.Handle(t.Context(), &model.Request{Fingerprint: 1}, nil)
		is.Equal(model.AsRefusal(err).Reason, model.ReasonSuspect)
	})
}

// Guards against a crash seen in what is none: a caller that leaves, an
// endpoint that answers with an error, a refused connection without work.
func TestOtherFailuresAreNoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, cancel := crashSide(t)
		defer cancel()
		end := make(chan struct{})
		close(end)
		left, leave := context.WithCancel(t.Context())
		leave()
		<-runUntil(left, p, "left", 1, end, crashed())
		<-runUntil(t.Context(), p, "error", 1, end, &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonEndpointFailed})
		<-runUntil(t.Context(), p, "down", 1, end, model.Refuse(model.ReasonEndpointFailed, ""))
		<-runUntil(t.Context(), p, "other", 1, end, errors.New("other"))
		synctest.Wait()
		seen, err := control.Ask(t.Context(), p.loop, takeReport{Question: control.NewQuestion[reportPlan]()})
		is.NoErr(err)
		is.Equal(len(seen.crashes), 0)
	})
}

// Guards against a refused connection that hides a crash of the work in flight.
func TestRefusedConnectionWithWorkInFlightIsACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, cancel := crashSide(t)
		defer cancel()
		end, now := make(chan struct{}), make(chan struct{})
		close(now)
		running := runUntil(t.Context(), p, "running", 1, end, crashed())
		synctest.Wait()
		refused := model.AsRefusal(<-runUntil(t.Context(), p, "new", 2, now, model.Refuse(model.ReasonEndpointFailed, "")))
		is.Equal(refused.Outcome, model.OutcomeNotRun)
		synctest.Wait()
		plan, err := control.Ask(t.Context(), p.loop, takeReport{Question: control.NewQuestion[reportPlan]()})
		is.NoErr(err)
		is.Equal(len(plan.crashes), 1)
		is.Equal(plan.crashes[0].Fingerprints, []uint64{1})
		close(end)
		is.Equal(model.AsRefusal(<-running).Crash, plan.crashes[0].ID)
	})
}
