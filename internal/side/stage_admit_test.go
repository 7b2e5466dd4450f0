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

var admitStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// admitState returns a state with a pool whose data centre is in the given
// state, and four engines in the list.
func admitStateOf(dc lists.DataCentreState) (*State, decideAdmission) {
	settings := Settings{Instance: "engine-0", Pool: "chat", DataCentre: "akl-1"}
	s := newState(settings)
	s.Config = accepted(dc)
	s.Mean = MeanLoad{PerEndpoint: 10000, Endpoints: 4, MeasuredAt: admitStart}
	s.Admission.SetMean(admit.Mean(s.Mean), admitStart.Add(-time.Minute))
	var ch instances.Changes
	for i, id := range []model.InstanceID{"engine-0", "engine-1", "engine-2", "engine-3"} {
		dc := model.DataCentre("akl-1")
		if i >= 2 {
			dc = "akl-2"
		}
		ch.Instances = append(ch.Instances, instances.Instance{ID: id, Role: instances.RoleEndpoint, Pool: "chat", DataCentre: dc, Address: string(id), Status: instances.Live})
	}
	s.Members.ApplyList(ch, admitStart)
	return s, decideAdmission{settings}
}

func accepted(dc lists.DataCentreState) *config.Accepted {
	l := lists.New()
	l.Pools["chat"] = lists.Pool{LoadMultiple: 2, Slots: 8, ColdLimit: 4000, WarmTime: time.Second}
	l.DataCentres["akl-1"] = lists.DataCentre{State: dc}
	return &config.Accepted{Lists: l}
}

func ask(s *State, st decideAdmission, ticket admit.Ticket) (admitReply, bool) {
	ev := admitRequest{Deferred: control.NewDeferred[admitReply](), work: admit.Work{Ticket: ticket, Cost: model.Cost{Prefill: 100}}}
	st.Apply(s, admitStart, ev)
	select {
	case r := <-ev.ReplyChan():
		return r, true
	default:
		return admitReply{}, false
	}
}

// Guards against a side that admits work after the record, the list or its own
// notice says that it takes none.
func TestClosedSideRefuses(t *testing.T) {
	is := is.New(t)
	for reason, change := range map[model.Reason]func(*State, decideAdmission){
		model.ReasonDataCentreOut: func(s *State, _ decideAdmission) { s.Config = accepted(lists.DataCentreOut) },
		model.ReasonDraining:      func(s *State, _ decideAdmission) { s.isLeaving = true },
		model.ReasonLeaving: func(s *State, st decideAdmission) {
			st.Apply(s, admitStart, listChanged{instances.Changes{Instances: []instances.Instance{{ID: "engine-0", Status: instances.Leaving}}}})
		},
	} {
		s, st := admitStateOf(lists.DataCentreIn)
		r, ok := ask(s, st, 1)
		is.True(ok && r.refusal == nil)
		change(s, st)
		r, ok = ask(s, st, 2)
		is.True(ok && r.refusal != nil) // reason
		is.Equal(r.refusal.Reason, reason)
	}
}

// Guards against reports that show a restart or a lost cache and change
// nothing, and against ordinary eviction taken for a lost cache.
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
		s, st := admitStateOf(lists.DataCentreIn)
		for i := range admit.Ticket(8) {
			ask(s, st, i)
			st.Apply(s, admitStart, workStarted{ticket: i})
		}
		st.Apply(s, admitStart, endpointReported{uptime: time.Minute, cacheTokens: 1000})
		st.Apply(s, admitStart, c.second)
		is.Equal(s.Admission.Window() == 1, c.cold)
	}
}

// Guards against work that stays counted when its caller leaves the queue.
func TestWithdrawnWorkIsNotCounted(t *testing.T) {
	is := is.New(t)
	s, st := admitStateOf(lists.DataCentreIn)
	ask(s, st, 1)
	_, decided := ask(s, st, 2) // a cold endpoint takes one
	is.True(!decided)
	is.Equal(s.Load, int64(200))
	st.Apply(s, admitStart, workDone{2})
	st.Apply(s, admitStart, workDone{1})
	is.Equal(s.Load, int64(0))
	is.Equal(len(s.asked), 0)
}

// Guards against warm chats that are not copied when the endpoint leaves, and
// against copies to endpoints that leave as well.
func TestLeavingPlansMovesToOtherDataCentres(t *testing.T) {
	is := is.New(t)
	s, st := admitStateOf(lists.DataCentreIn)
	moves := planMoves{st.settings, newKVMover(noKV{}, time.Minute)}
	for i, chat := range []string{"a", "b", "c", "d", "e", "f"} {
		moves.Apply(s, admitStart.Add(time.Duration(i)), workStarted{ticket: 99, chat: chat})
	}
	moves.Apply(s, admitStart, control.Tick{})
	is.Equal(len(moves.kv.moves), 0)
	s.Config = accepted(lists.DataCentreOut)
	st.Apply(s, admitStart, control.Tick{})
	moves.Apply(s, admitStart, control.Tick{})
	planned := <-moves.kv.moves
	is.Equal(len(planned), 6)
	is.Equal(planned[0].chat, "f") // the most recent first
	for _, m := range planned {
		is.True(m.address == "engine-2" || m.address == "engine-3")
	}
	moves.Apply(s, admitStart, control.Tick{})
	is.Equal(len(moves.kv.moves), 0) // once for each leave
}

// noKV is an engine without any cached chat.
type noKV struct{ imported chan endpointapi.KV }

func (noKV) ExportKV(context.Context, string) (endpointapi.KV, error) {
	return endpointapi.KV{}, endpointapi.ErrNoKV
}

func (n noKV) ImportKV(_ context.Context, kv endpointapi.KV) error {
	n.imported <- kv
	return nil
}

// fullKV is an engine that holds every chat.
type fullKV struct{ noKV }

func (fullKV) ExportKV(_ context.Context, chat string) (endpointapi.KV, error) {
	return endpointapi.KV{Chat: chat, Tokens: 7}, nil
}

// Guards against a chat that starts without the cache that its last endpoint
// holds, and against a copy that is given to a caller without the shared key.
func TestCacheIsFetchedFromTheHolder(t *testing.T) {
	is := is.New(t)
	holder := New(Settings{Instance: "engine-1", Pool: "chat", Key: "shared"}, Deps{
		Log: slog.New(slog.DiscardHandler), Logs: noLog{}, List: noList{}, Dial: exchange.NewPipeNet().Dialer("engine-1"), KV: fullKV{},
	})
	server := httptest.NewServer(holder.Handler())
	defer server.Close()
	own := noKV{imported: make(chan endpointapi.KV, 1)}
	req := &model.Request{Workspace: "w", Chat: "c", KVSource: strings.TrimPrefix(server.URL, "http://")}
	run := func(context.Context, *model.Request) (*model.Answer, error) { return &model.Answer{}, nil }
	_, err := fetchKV{newKVMover(own, time.Minute), "shared"}.Handle(t.Context(), req, run)
	is.NoErr(err)
	is.Equal(<-own.imported, endpointapi.KV{Chat: req.HashKey(), Tokens: 7})
	_, err = fetchKV{newKVMover(own, time.Minute), "wrong"}.Handle(t.Context(), req, run)
	is.NoErr(err) // the request runs without a copy
	is.Equal(len(own.imported), 0)
	resp, err := http.Get(server.URL + "/side/kv/c")
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusForbidden)
}
