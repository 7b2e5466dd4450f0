package side

import (
	"context"
	"errors"
	"fmt"
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
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// failingLog is a log service that is down.
type failingLog struct{}

func (failingLog) Append(context.Context, string, []byte) (int64, error) { return 0, io.ErrClosedPipe }
func (failingLog) Read(context.Context, string, int64, time.Duration) (logsvc.Batch, error) {
	return logsvc.Batch{}, io.ErrClosedPipe
}

// failingList is an instance list that is down.
type failingList struct{}

func (failingList) Since(context.Context, int64, time.Duration) (instances.Changes, error) {
	return instances.Changes{}, io.ErrClosedPipe
}

// newRunningSide returns a side whose control loop runs.
func newRunningSide(t *testing.T) (*Side, context.CancelFunc) {
	t.Helper()
	pipes := exchange.NewPipeNet()
	p := New(Settings{Instance: "engine-0", Pool: "chat"}, Deps{
		Log: slog.New(slog.DiscardHandler), Logs: failingLog{}, List: failingList{}, Dial: pipes.Dialer("engine-0"),
	})
	ctx, cancel := context.WithCancel(t.Context())
	go p.loop.Run(ctx)
	return p, cancel
}

func crashRefusal() error {
	return &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonCrashed}
}

// runUntil runs a request that fails with err when end is closed.
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

// Guards against a crash that counts once for each request in flight, so that every
// innocent request is refused, and against a refusal that does not name the crash.
func TestRequestsInFlightShareOneCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, cancel := newRunningSide(t)
		defer cancel()
		end := make(chan struct{})
		a := runUntil(t.Context(), p, "a", 1, end, crashRefusal())
		b := runUntil(t.Context(), p, "b", 2, end, crashRefusal())
		synctest.Wait()
		close(end)
		first, second := model.AsRefusal(<-a), model.AsRefusal(<-b)
		is.True(first.Crash != "")
		is.Equal(first.Crash, second.Crash)
		synctest.Wait()
		is.Equal(len(p.loop.Snapshot().Suspects), 0)
		// A request whose retry crashes the endpoint as well is refused.
		retried := runUntil(t.Context(), p, "c", 1, end, crashRefusal())
		is.True(model.AsRefusal(<-retried).Crash != first.Crash)
		synctest.Wait()
		view := p.loop.Snapshot().Suspects
		is.True(view.RemainingTime(1, time.Now()) > 0)
		is.Equal(view.RemainingTime(2, time.Now()), time.Duration(0))
		_, err := guardSuspects{p.loop.Snapshot}.Handle(t.Context(), &model.Request{Fingerprint: 1}, nil)
		is.Equal(model.AsRefusal(err).Reason, model.ReasonSuspect)
	})
}

// Guards against other failures that count as a crash: a caller that cancels, an
// endpoint that answers with an error, a refused connection without requests in
// flight.
func TestOtherFailuresAreNoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, cancel := newRunningSide(t)
		defer cancel()
		end := make(chan struct{})
		close(end)
		cancelledCtx, cancelCaller := context.WithCancel(t.Context())
		cancelCaller()
		<-runUntil(cancelledCtx, p, "left", 1, end, crashRefusal())
		<-runUntil(t.Context(), p, "error", 1, end, &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonEndpointFailed})
		<-runUntil(t.Context(), p, "down", 1, end, model.Refuse(model.ReasonEndpointFailed, ""))
		<-runUntil(t.Context(), p, "other", 1, end, errors.New("other"))
		synctest.Wait()
		message, err := control.Ask(t.Context(), p.loop, reportQuery{Question: control.NewQuestion[reportMessage]()})
		is.NoErr(err)
		is.Equal(len(message.crashes), 0)
	})
}

// Guards against a crash that goes unrecorded because a new request, whose connection
// is refused, shows it before the requests in flight fail.
func TestRefusedConnectionWithWorkInFlightIsACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, cancel := newRunningSide(t)
		defer cancel()
		end, closed := make(chan struct{}), make(chan struct{})
		close(closed)
		running := runUntil(t.Context(), p, "running", 1, end, crashRefusal())
		synctest.Wait()
		refused := model.AsRefusal(<-runUntil(t.Context(), p, "new", 2, closed, model.Refuse(model.ReasonEndpointFailed, "")))
		is.Equal(refused.Outcome, model.OutcomeNotRun)
		synctest.Wait()
		message, err := control.Ask(t.Context(), p.loop, reportQuery{Question: control.NewQuestion[reportMessage]()})
		is.NoErr(err)
		is.Equal(len(message.crashes), 1)
		is.Equal(message.crashes[0].Fingerprints, []uint64{1})
		close(end)
		is.Equal(model.AsRefusal(<-running).Crash, message.crashes[0].ID)
	})
}

// Guards against a request that crashes one endpoint after the other and is never refused, since
// many others are in flight with it: other processes drop a crash with too many fingerprints.
func TestCrashesWithManyRequestsInFlightReachOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, others := range []int{suspect.MaxPerCrash - 1, 200, 5000} {
			is := is.New(t)
			p, cancel := newRunningSide(t)
			const deadly = 1 << 62
			known := suspect.NewTable() // of an entry
			crashes := 0
			for known.View(time.Now()).RemainingTime(deadly, time.Now()) == 0 && crashes < 50 {
				crashes++
				end := make(chan struct{})
				running := []<-chan error{runUntil(t.Context(), p, "deadly", deadly, end, crashRefusal())}
				for i := range others {
					running = append(running, runUntil(t.Context(), p, model.RequestID(fmt.Sprint(i)), uint64(crashes*1_000_000+i), end, crashRefusal()))
				}
				synctest.Wait()
				close(end)
				for _, r := range running {
					<-r
				}
				synctest.Wait()
				crash := <-p.crashes // as it is broadcast and appended to the log
				received, err := exchange.FromCrash(crash, time.Now()).Model(time.Now())
				is.NoErr(err)
				known.Add(time.Now(), received)
				data, err := suspect.Encode(crash)
				is.NoErr(err)
				_, err = suspect.Decode(data, time.Now())
				is.NoErr(err)
			}
			t.Logf("refused after %d crashes with %d other requests", crashes, others)
			is.True(crashes < 50)
			if others < suspect.MaxPerCrash {
				is.Equal(crashes, suspect.Threshold)
			}
			cancel()
		}
	})
}
