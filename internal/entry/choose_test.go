package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/choose"
	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

var routingStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// routingFixture returns a state with six engines in two data centres.
func routingFixture() *State {
	s := newState()
	s.Config = withCentre(lists.DataCentreIn)
	var ch instances.Changes
	for i := range 6 {
		id := model.InstanceID(fmt.Sprintf("engine-%d", i))
		ch.Instances = append(ch.Instances, instances.Instance{
			ID: id, Role: instances.RoleEndpoint, Pool: "chat", Address: string(id) + ":1",
			DataCentre: model.DataCentre(fmt.Sprintf("akl-%d", i%2)), Status: instances.Live,
		})
	}
	apply(s, routingStart, listChanged{ch})
	return s
}

func withCentre(state lists.DataCentreState) *config.Accepted {
	l := lists.New()
	l.Pools["chat"] = lists.Pool{ReturnTime: time.Minute}
	l.DataCentres["akl-0"] = lists.DataCentre{State: state}
	l.DataCentres["akl-1"] = lists.DataCentre{State: lists.DataCentreIn}
	return &config.Accepted{Lists: l}
}

func apply(s *State, now time.Time, ev control.Event) {
	foldMembers{}.Apply(s, now, ev)
	derive{}.Apply(s, now, ev)
}

func firstOf(s *State, key string) model.EndpointID {
	out := s.Candidates["chat"].Order(nil, choose.Query{Key: key, Chat: true}, 1)
	return out[0].ID
}

// Guards against a request that is offered to more endpoints than allowed, and
// against one that loses the address of its chat's cache on the way.
func TestHandOversAreBoundedAndNameTheHolder(t *testing.T) {
	is := is.New(t)
	s := routingFixture()
	f := chooseEndpoint{
		snapshot: func() *Snapshot { return &Snapshot{Candidates: s.Candidates} },
		repeat:   func(context.Context, *model.Request, *model.Refusal) bool { return true },
	}
	req := &model.Request{Pool: "chat", Workspace: "w", Chat: "c", Idempotent: true, ReturnToken: choose.ReturnToken("engine-3")}
	var targets []model.EndpointID
	var from []string
	_, err := f.Handle(t.Context(), req, func(_ context.Context, req *model.Request) (*model.Answer, error) {
		targets, from = append(targets, req.Target), append(from, req.KVSource)
		return nil, model.Refuse(model.ReasonOverloaded, "")
	})
	is.Equal(model.AsRefusal(err).Reason, model.ReasonOverloaded)
	is.Equal(len(targets), maxHandOvers)
	is.Equal(targets[0], model.EndpointID("engine-3"))
	is.Equal(from, []string{"", "engine-3:1", "engine-3:1"})
}

// Guards against an endpoint that is offered work right after it refused for
// its load, and against one that stays behind for good.
func TestOverloadedEndpointIsPassedOverForAMoment(t *testing.T) {
	is := is.New(t)
	s := routingFixture()
	home := firstOf(s, "k")
	apply(s, routingStart, endpointSeen{id: home, reason: model.ReasonOverloaded, ratio: 2})
	is.True(firstOf(s, "k") != home)
	apply(s, routingStart.Add(overHold+time.Millisecond), control.Tick{})
	is.Equal(firstOf(s, "k"), home)
	apply(s, routingStart.Add(2*time.Second), endpointSeen{id: home, reason: model.ReasonUnreachable})
	is.True(firstOf(s, "k") != home)
	apply(s, routingStart.Add(4*time.Second), endpointSeen{id: home, reason: model.ReasonLeaving})
	is.True(firstOf(s, "k") != home)
}

// Guards against a data centre that gets all its chats back at once, or never.
func TestReturningDataCentreGetsItsChatsInSlices(t *testing.T) {
	is := is.New(t)
	s := routingFixture()
	back := func(now time.Time) (n int) {
		for i := range 400 {
			if id := firstOf(s, fmt.Sprint(i)); id == "engine-0" || id == "engine-2" || id == "engine-4" {
				n++
			}
		}
		return n
	}
	all := back(routingStart)
	now := routingStart
	apply(s, now, control.Tick{})
	now = now.Add(historyTime)
	s.Config, s.derived = withCentre(lists.DataCentreOut), false
	apply(s, now, control.Tick{})
	is.Equal(back(now), 0)
	s.Config, s.derived = withCentre(lists.DataCentreIn), false
	apply(s, now, control.Tick{})
	is.Equal(back(now), 0)
	apply(s, now.Add(30*time.Second), control.Tick{})
	half := back(now)
	is.True(half > all/3 && half < all*2/3)
	apply(s, now.Add(time.Minute), control.Tick{})
	is.Equal(back(now), all)
}

// BenchmarkCapacityLoads measures a change of the loads of 170 endpoints, which
// happens up to 4 times a second.
func BenchmarkCapacityLoads(b *testing.B) {
	s := newState()
	s.Config = withCentre(lists.DataCentreIn)
	var ch instances.Changes
	for i := range 170 {
		ch.Instances = append(ch.Instances, instances.Instance{ID: model.InstanceID(fmt.Sprint(i)), Role: instances.RoleEndpoint, Pool: "chat", Status: instances.Live})
		s.loads[model.EndpointID(fmt.Sprint(i))] = endpointLoad{ratio: 1}
	}
	apply(s, routingStart, listChanged{ch})
	b.ReportAllocs()
	for b.Loop() {
		s.loadsStale = true
		derive{}.Apply(s, routingStart, control.Tick{})
	}
}

// BenchmarkCapacityDerive measures the index of 170 endpoints after a change.
func BenchmarkCapacityDerive(b *testing.B) {
	s := newState()
	s.Config = withCentre(lists.DataCentreIn)
	var ch instances.Changes
	for i := range 170 {
		ch.Instances = append(ch.Instances, instances.Instance{ID: model.InstanceID(fmt.Sprint(i)), Role: instances.RoleEndpoint, Pool: "chat", Status: instances.Live})
	}
	apply(s, routingStart, listChanged{ch})
	b.ReportAllocs()
	for b.Loop() {
		s.derived = false
		derive{}.Apply(s, routingStart, control.Tick{})
	}
}
