package order_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/order"
)

func accepted(offset int64, version model.Version, rollouts map[string]lists.Rollout) *config.Accepted {
	l := lists.New()
	l.Pools["chat"] = lists.Pool{Kind: model.Engine, Version: version}
	l.Rollouts = rollouts
	return &config.Accepted{Offset: offset, Lists: l}
}

// Guards against a target without the old version during a rollout, or with the
// new version after a rollback.
func TestTargetFollowsTheRollout(t *testing.T) {
	is := is.New(t)
	r := lists.Rollout{Pool: "chat", Old: "v1", New: "v2", Start: time.Unix(1, 0), State: lists.RolloutActive}
	target := func() []model.Version {
		return order.DeriveTarget(accepted(0, "v1", map[string]lists.Rollout{"r": r}).Lists, "chat").Versions
	}
	is.Equal(target(), []model.Version{"v1", "v2"})
	r.State = lists.RolloutRolledBack
	is.Equal(target(), []model.Version{"v1"})
	r.State = lists.RolloutDone
	is.Equal(target(), []model.Version{"v2"})
}

// Guards against an order that is sent twice after a lost answer, against an
// unload that interrupts streams, and against sending an order that was derived
// from an older target.
func TestOrdersAreSerialisedAndReadBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := order.New("e1", "chat")
	m.SetMembers(now, []model.EndpointID{"e1"})
	advance := func(d time.Duration) {
		for range int(d / time.Second) {
			now = now.Add(time.Second)
			m.Tick(now)
		}
	}
	m.Tick(now)
	m.SetConfig(now, accepted(4, "v2", nil))
	is.True(!m.Next(now).ReadState) // no steps in the hold after the start
	advance(15 * time.Second)
	is.True(m.Next(now).ReadState)
	is.True(m.Next(now).Order == nil && !m.Next(now).ReadState) // the last step has not ended
	m.SetState(now, &order.State{Loaded: []model.Version{"v1"}})
	load := m.Next(now).Order
	is.Equal(load.Kind, order.Load)
	is.Equal(load.Fence, int64(4))
	m.OrderDone(now, true) // the answer was lost
	is.Equal(m.Next(now).Order, nil)
	advance(2 * time.Second)
	is.True(m.Next(now).ReadState)
	m.SetState(now, &order.State{Loaded: []model.Version{"v1", "v2"}})
	is.Equal(m.Next(now).Order, nil) // streams of v1 still run
	advance(time.Minute)
	is.True(m.Next(now).ReadState)
	m.SetState(now, &order.State{Loaded: []model.Version{"v1", "v2"}})
	unload := m.Next(now).Order
	is.Equal(unload.Kind, order.Unload)
	is.Equal(unload.Version, model.Version("v1"))
	is.True(order.StillValid(*unload, m.MinFence(), now))
	m.SetConfig(now, accepted(7, "v1", nil)) // rolled back before the order is sent
	is.True(!order.StillValid(*unload, m.MinFence(), now))
}
