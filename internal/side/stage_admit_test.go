package side

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/admit"
	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newAdmissionTest returns the admission stage and a state in which the data centre of
// the side has state dc and the instance list has four engines.
func newAdmissionTest(dc lists.DataCentreState) (*State, decideAdmission) {
	settings := Settings{Instance: "engine-0", Pool: "chat", DataCentre: "akl-1"}
	s := newState(settings)
	s.Config = acceptedConfig(dc)
	s.Mean = MeanLoad{PerEndpoint: 10000, Endpoints: 4, MeasuredAt: testStart}
	s.Admission.SetMean(admit.Mean(s.Mean), testStart.Add(-time.Minute))
	var ch instances.Changes
	for i, id := range []model.InstanceID{"engine-0", "engine-1", "engine-2", "engine-3"} {
		dc := model.DataCentre("akl-1")
		if i >= 2 {
			dc = "akl-2"
		}
		ch.Instances = append(ch.Instances, instances.Instance{ID: id, Role: instances.RoleEndpoint, Pool: "chat", DataCentre: dc, Address: string(id), Status: instances.Live})
	}
	s.Members.ApplyList(ch, testStart)
	return s, decideAdmission{settings}
}

func acceptedConfig(dc lists.DataCentreState) *config.Accepted {
	l := lists.New()
	l.Pools["chat"] = lists.Pool{LoadMultiple: 2, Slots: 8, ColdLimit: 4000, WarmTime: time.Second}
	l.DataCentres["akl-1"] = lists.DataCentre{State: dc}
	return &config.Accepted{Lists: l}
}

// admitOne asks for admission of a request. It returns false if the request is queued.
func admitOne(s *State, st decideAdmission, ticket admit.Ticket) (admitReply, bool) {
	ev := admitRequest{Deferred: control.NewDeferred[admitReply](), work: admit.Work{Ticket: ticket, Cost: model.Cost{Prefill: 100}}}
	st.Apply(s, testStart, ev)
	select {
	case r := <-ev.ReplyChan():
		return r, true
	default:
		return admitReply{}, false
	}
}

// Guards against a side that admits requests although its data centre is out of
// service, the instance list marks it as leaving, or it has announced that it leaves.
func TestClosedSideRefuses(t *testing.T) {
	is := is.New(t)
	for reason, change := range map[model.Reason]func(*State, decideAdmission){
		model.ReasonDataCentreOut: func(s *State, _ decideAdmission) { s.Config = acceptedConfig(lists.DataCentreOut) },
		model.ReasonDraining:      func(s *State, _ decideAdmission) { s.isLeaving = true },
		model.ReasonLeaving: func(s *State, st decideAdmission) {
			st.Apply(s, testStart, listChanged{instances.Changes{Instances: []instances.Instance{{ID: "engine-0", Status: instances.Leaving}}}})
		},
	} {
		s, st := newAdmissionTest(lists.DataCentreIn)
		reply, decided := admitOne(s, st, 1)
		is.True(decided && reply.refusal == nil)
		change(s, st)
		reply, decided = admitOne(s, st, 2)
		is.True(decided && reply.refusal != nil) // reason
		is.Equal(reply.refusal.Reason, reason)
	}
}

// Guards against a restart or a lost cache that the load report shows and that does
// not mark the endpoint as cold, and against ordinary eviction that does.
func TestReportsShowColdEndpoint(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		second endpointReported
		cold   bool
	}{
		{endpointReported{uptime: 2 * time.Minute, cacheTokens: 900}, false},
		{endpointReported{uptime: time.Second, cacheTokens: 1000}, true},
		{endpointReported{uptime: 2 * time.Minute, cacheTokens: 100}, true},
	} {
		s, st := newAdmissionTest(lists.DataCentreIn)
		for i := range admit.Ticket(8) {
			admitOne(s, st, i)
			st.Apply(s, testStart, workStarted{ticket: i})
		}
		st.Apply(s, testStart, endpointReported{uptime: time.Minute, cacheTokens: 1000})
		st.Apply(s, testStart, c.second)
		is.Equal(s.Admission.Window() == 1, c.cold)
	}
}

// Guards against load that stays counted after a queued request is cancelled.
func TestWithdrawnWorkIsNotCounted(t *testing.T) {
	is := is.New(t)
	s, st := newAdmissionTest(lists.DataCentreIn)
	admitOne(s, st, 1)
	_, decided := admitOne(s, st, 2) // a cold endpoint admits one request
	is.True(!decided)
	is.Equal(s.Load, int64(200))
	st.Apply(s, testStart, workDone{2})
	st.Apply(s, testStart, workDone{1})
	is.Equal(s.Load, int64(0))
	is.Equal(len(s.pending), 0)
}

// Guards against warm chats whose cache is not transferred when the data centre of
// the endpoint is taken out of service, and against transfers within that data centre.
func TestLeavingPlansTransfersToOtherDataCentres(t *testing.T) {
	is := is.New(t)
	s, st := newAdmissionTest(lists.DataCentreIn)
	stage := planTransfers{st.settings, newKVTransfers(emptyKV{}, time.Minute)}
	for i, chat := range []string{"a", "b", "c", "d", "e", "f"} {
		stage.Apply(s, testStart.Add(time.Duration(i)), workStarted{ticket: 99, cacheKey: chat})
	}
	stage.Apply(s, testStart, control.Tick{})
	is.Equal(len(stage.kv.planned), 0)
	s.Config = acceptedConfig(lists.DataCentreOut)
	st.Apply(s, testStart, control.Tick{})
	stage.Apply(s, testStart, control.Tick{})
	transfers := <-stage.kv.planned
	is.Equal(len(transfers), 6)
	is.Equal(transfers[0].chat, "f") // most recently used first
	for _, transfer := range transfers {
		is.True(transfer.address == "engine-2" || transfer.address == "engine-3")
	}
	stage.Apply(s, testStart, control.Tick{})
	is.Equal(len(stage.kv.planned), 0) // planned only once
}

// emptyKV is an engine that has no chat cached.
type emptyKV struct{ imported chan endpointapi.KV }

func (emptyKV) ExportKV(context.Context, string) (endpointapi.KV, error) {
	return endpointapi.KV{}, endpointapi.ErrNoKV
}

func (n emptyKV) ImportKV(_ context.Context, kv endpointapi.KV) error {
	n.imported <- kv
	return nil
}

// fullKV is an engine that has every chat cached.
type fullKV struct{ emptyKV }

func (fullKV) ExportKV(_ context.Context, chat string) (endpointapi.KV, error) {
	return endpointapi.KV{Chat: chat, Tokens: 7}, nil
}

// Guards against a chat that starts without the cache of its cache holder, and
// against a cache that is served to a caller without the shared key.
func TestCacheIsFetchedFromCacheHolder(t *testing.T) {
	is := is.New(t)
	holder := New(Settings{Instance: "engine-1", Pool: "chat", Key: "shared"}, Deps{
		Log: slog.New(slog.DiscardHandler), Logs: failingLog{}, List: failingList{}, Dial: exchange.NewPipeNet().Dialer("engine-1"), KV: fullKV{},
	})
	server := httptest.NewServer(holder.Handler())
	defer server.Close()
	own := emptyKV{imported: make(chan endpointapi.KV, 1)}
	req := &model.Request{Workspace: "w", Chat: "c", KVSource: strings.TrimPrefix(server.URL, "http://")}
	run := func(context.Context, *model.Request) (*model.Answer, error) { return &model.Answer{}, nil }
	_, err := fetchKV{newKVTransfers(own, time.Minute), "shared"}.Handle(t.Context(), req, run)
	is.NoErr(err)
	is.Equal(<-own.imported, endpointapi.KV{Chat: req.HashKey(), Tokens: 7})
	_, err = fetchKV{newKVTransfers(own, time.Minute), "wrong"}.Handle(t.Context(), req, run)
	is.NoErr(err) // the request runs without the cache
	is.Equal(len(own.imported), 0)
	resp, err := http.Get(server.URL + "/side/kv/c")
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusForbidden)
}
