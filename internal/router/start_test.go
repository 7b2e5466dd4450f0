package router

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/catalog"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// startStore is a store with a configuration and an endpoint, whose changes never
// come.
type startStore struct{}

func (startStore) Eras() <-chan int64 { return nil }
func (startStore) ObserveEra(int64)   {}

func (startStore) Endpoints(context.Context) (Listing, error) {
	return Listing{Delta: place.Delta{Changed: []place.Endpoint{{ID: "e", Pool: "p", Address: "127.0.0.1:1"}}}}, nil
}

func (startStore) EndpointChanges(ctx context.Context, _ Position) (Listing, error) {
	<-ctx.Done()
	return Listing{}, ctx.Err()
}

func (startStore) CurrentOrders(context.Context) (Orders, Position, error) {
	return Orders{Catalog: catalog.New(1, nil, nil, 0)}, Position{Offset: 1}, nil
}

func (startStore) OrderChanges(ctx context.Context, _ Position, _ time.Duration) (Orders, Position, error) {
	<-ctx.Done()
	return Orders{}, Position{}, ctx.Err()
}

func (startStore) DecodeConfig([]byte) (*catalog.Catalog, error) { return nil, nil }

func (startStore) Announce(context.Context, Member) error    { return nil }
func (startStore) Members(context.Context) ([]Member, error) { return nil, nil }

func (startStore) PutSuspects(context.Context, []suspect.Record, Position) error { return nil }
func (startStore) ClaimTrial(_ context.Context, r []suspect.Record, _ int64) ([]suspect.Record, bool, error) {
	return r, true, nil
}
func (startStore) Suspects(context.Context) ([]suspect.Record, Position, error) {
	return nil, Position{}, nil
}
func (startStore) PutCrashReport(context.Context, suspect.Report) error { return nil }
func (startStore) CrashReports(context.Context) ([]suspect.Report, Position, error) {
	return nil, Position{}, nil
}

func (startStore) CrashReportChanges(ctx context.Context, _ Position, _ time.Duration) ([]suspect.Report, Position, error) {
	<-ctx.Done()
	return nil, Position{}, ctx.Err()
}

func (startStore) RolloutStatuses(context.Context) (map[model.Pool]RolloutStatus, Position, error) {
	return nil, Position{}, nil
}

func (startStore) RolloutStatusChanges(ctx context.Context, _ Position, _ time.Duration) (map[model.Pool]RolloutStatus, Position, error) {
	<-ctx.Done()
	return nil, Position{}, ctx.Err()
}

func (startStore) PutRolloutStatus(context.Context, model.Pool, RolloutStatus, Position) error {
	return nil
}

// Guards against a starting router that serves callers when it has read the
// configuration and the instance list but its control loop, which waits for the
// processor, has not applied them: 343 requests were refused after all routers had
// been killed.
func TestStartStateIsAppliedBeforeCallersAreServed(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := New(Settings{Instance: model.InstanceID("router-1")}, Deps{Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Store: startStore{}}, nil)
	r.gate.setClosed(false)
	go r.followOrders(ctx)
	go r.followList(ctx)
	select {
	case <-r.configReady.closed:
		t.Fatal("the configuration counts as known before it is applied")
	case <-r.listReady.closed:
		t.Fatal("the instance list counts as known before it is applied")
	case <-time.After(100 * time.Millisecond): // the control loop does not run yet
	}
	go r.loop.Run(ctx)
	<-r.configReady.closed
	is.True(r.loop.Snapshot().Catalog != nil)
	<-r.listReady.closed
	is.True(r.loop.Snapshot().Listed)
}
