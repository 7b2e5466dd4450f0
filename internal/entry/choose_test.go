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
	s.Config = configWithDataCentre(lists.DataCentreIn)
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

func configWithDataCentre(state lists.DataCentreState) *config.Accepted {
	l := lists.New()
	l.Pools["chat"] = lists.Pool{ReturnTime: time.Minute}
	l.DataCentres["akl-0"] = lists.DataCentre{State: state}
	l.DataCentres["akl-1"] = lists.DataCentre{State: lists.DataCentreIn}
	return &config.Accepted{Lists: l}
}

// apply applies ev to the stages that derive the candidates.
func apply(s *State, now time.Time, ev control.Event) {
	mergeMembers{}.Apply(s, now, ev)
	deriveRouting{}.Apply(s, now, ev)
}

// firstChoice returns the preferred endpoint of the chat with the given key.
func firstChoice(s *State, key string) model.EndpointID {
	out := s.Candidates["chat"].Order(nil, choose.Query{Key: key, Chat: true}, 1)
	return out[0].ID
}

// Guards against a request that is sent to more endpoints than allowed, and against
// a retry that loses the address of its chat's cache holder.
func TestAttemptsAreBoundedAndNameTheCacheHolder(t *testing.T) {
	is := is.New(t)
	s := routingFixture()
	f := chooseEndpoint{
		snapshot: func() *Snapshot { return &Snapshot{Candidates: s.Candidates} },
		mayRetry: func(context.Context, *model.Request, *model.Refusal) bool { return true },
	}
	req := &model.Request{Pool: "chat", Workspace: "w", Chat: "c", Idempotent: true, ReturnToken: choose.ReturnToken("engine-3")}
	var targets []model.EndpointID
	var sources []string
	_, err := f.Handle(t.Context(), req, func(_ context.Context, req *model.Request) (*model.Answer, error) {
		targets, sources = append(targets, req.Target), append(sources, req.KVSource)
		return nil, model.Refuse(model.ReasonOverloaded, "")
	})
	is.Equal(model.AsRefusal(err).Reason, model.ReasonOverloaded)
	is.Equal(len(targets), maxAttempts)
	is.Equal(targets[0], model.EndpointID("engine-3"))
	is.Equal(sources, []string{"", "engine-3:1", "engine-3:1"})
}

// Guards against an endpoint that gets work right after it refused for its load,
// and against one that is avoided for good.
func TestOverloadedEndpointIsAvoidedForALimitedTime(t *testing.T) {
	is := is.New(t)
	s := routingFixture()
	preferred := firstChoice(s, "k")
	apply(s, routingStart, endpointObserved{id: preferred, reason: model.ReasonOverloaded, ratio: 2})
	is.True(firstChoice(s, "k") != preferred)
	apply(s, routingStart.Add(overBoundTTL+time.Millisecond), control.Tick{})
	is.Equal(firstChoice(s, "k"), preferred)
	apply(s, routingStart.Add(2*time.Second), endpointObserved{id: preferred, reason: model.ReasonUnreachable})
	is.True(firstChoice(s, "k") != preferred)
	apply(s, routingStart.Add(4*time.Second), endpointObserved{id: preferred, reason: model.ReasonLeaving})
	is.True(firstChoice(s, "k") != preferred)
}

// Guards against a data centre that gets all its chats back at once after its return
// to service, or never.
func TestReturningDataCentreGetsItsChatsGradually(t *testing.T) {
	is := is.New(t)
	s := routingFixture()
	// countAtReturning counts the chats that prefer an endpoint of akl-0.
	countAtReturning := func(now time.Time) (n int) {
		for i := range 400 {
			if id := firstChoice(s, fmt.Sprint(i)); id == "engine-0" || id == "engine-2" || id == "engine-4" {
				n++
			}
		}
		return n
	}
	all := countAtReturning(routingStart)
	now := routingStart
	apply(s, now, control.Tick{})
	now = now.Add(startupHistoryTime)
	s.Config, s.derivedValid = configWithDataCentre(lists.DataCentreOut), false
	apply(s, now, control.Tick{})
	is.Equal(countAtReturning(now), 0)
	s.Config, s.derivedValid = configWithDataCentre(lists.DataCentreIn), false
	apply(s, now, control.Tick{})
	is.Equal(countAtReturning(now), 0)
	apply(s, now.Add(30*time.Second), control.Tick{})
	half := countAtReturning(now)
	is.True(half > all/3 && half < all*2/3)
	apply(s, now.Add(time.Minute), control.Tick{})
	is.Equal(countAtReturning(now), all)
}

// BenchmarkCapacityLoads measures an update of the loads of 170 endpoints, which
// happens up to 4 times a second.
func BenchmarkCapacityLoads(b *testing.B) {
	s := newState()
	s.Config = configWithDataCentre(lists.DataCentreIn)
	var ch instances.Changes
	for i := range 170 {
		ch.Instances = append(ch.Instances, instances.Instance{ID: model.InstanceID(fmt.Sprint(i)), Role: instances.RoleEndpoint, Pool: "chat", Status: instances.Live})
		s.loads[model.EndpointID(fmt.Sprint(i))] = endpointLoad{ratio: 1}
	}
	apply(s, routingStart, listChanged{ch})
	b.ReportAllocs()
	for b.Loop() {
		s.candidatesStale = true
		deriveRouting{}.Apply(s, routingStart, control.Tick{})
	}
}

// BenchmarkCapacityDerive measures the computation of the indexes of 170 endpoints
// after a change of membership.
func BenchmarkCapacityDerive(b *testing.B) {
	s := newState()
	s.Config = configWithDataCentre(lists.DataCentreIn)
	var ch instances.Changes
	for i := range 170 {
		ch.Instances = append(ch.Instances, instances.Instance{ID: model.InstanceID(fmt.Sprint(i)), Role: instances.RoleEndpoint, Pool: "chat", Status: instances.Live})
	}
	apply(s, routingStart, listChanged{ch})
	b.ReportAllocs()
	for b.Loop() {
		s.derivedValid = false
		deriveRouting{}.Apply(s, routingStart, control.Tick{})
	}
}
