package choose

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

func pool(n int) *Pool {
	var list []Candidate
	for i := range n {
		list = append(list, Candidate{ID: model.EndpointID(fmt.Sprintf("e%03d", i)), Weight: 1})
	}
	return NewPool(nil, list)
}

func first(p *Pool, q Query) model.EndpointID {
	out := p.Order(nil, q, 1)
	if len(out) == 0 {
		return ""
	}
	return out[0].ID
}

// Guards against moving a chat whose own endpoint stays when another endpoint joins
// or leaves.
func TestOnlyChatsOfTheRemovedEndpointMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "n")
		removed := rapid.IntRange(0, n-1).Draw(t, "lost")
		before, after := pool(n), pool(n)
		after.Candidates[removed].Leaving = true
		q := Query{Key: rapid.String().Draw(t, "key"), Chat: true}
		if a, b := first(before, q), first(after, q); a != b && a != before.Candidates[removed].ID {
			t.Fatalf("chat moved from %s to %s although %s left", a, b, before.Candidates[removed].ID)
		}
	})
}

// Guards against an endpoint whose share of the keys does not match its weight.
func TestShareFollowsWeight(t *testing.T) {
	is := is.New(t)
	p := pool(4)
	p.Candidates[0].Weight = 3
	p = NewPool(nil, p.Candidates)
	won := 0
	const keys = 20000
	for i := range keys {
		if first(p, Query{Key: fmt.Sprint(i), Chat: true}) == "e000" {
			won++
		}
	}
	is.True(won > keys*48/100 && won < keys*52/100) // weight 3 of 6 in total
}

// Guards against following a return token to an endpoint that accepts no work,
// and against ignoring the token of an endpoint that does.
func TestTokenIsFollowedOnlyToEligibleEndpoints(t *testing.T) {
	is := is.New(t)
	p := pool(5)
	for i := range p.Candidates {
		c := &p.Candidates[i]
		q := Query{Key: "chat", Chat: true, ReturnToken: ReturnToken(c.ID)}
		is.Equal(first(p, q), c.ID)
		c.Leaving = true
		is.True(first(p, q) != c.ID)
		c.Leaving, c.OutOfService = false, true
		is.True(first(p, q) != c.ID)
		c.OutOfService = false
	}
	is.True(first(p, Query{Key: "chat", ReturnToken: "no token"}) != "")
}

// Guards against an order that starts with an endpoint over its load bound, and
// against one that leaves it out.
func TestOverBoundComesLast(t *testing.T) {
	is := is.New(t)
	p := pool(3)
	q := Query{Key: "chat", Chat: true}
	top := first(p, q)
	q.ReturnToken = ReturnToken(top)
	for i := range p.Candidates {
		p.Candidates[i].OverBound = p.Candidates[i].ID == top
	}
	out := p.Order(nil, q, 3)
	is.Equal(len(out), 3)
	is.Equal(out[2].ID, top)
}

// Guards against chats that change their endpoint more than once while a data
// centre returns to service.
func TestReturnToServiceMovesEachChatOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := pool(6)
		q := Query{Key: rapid.String().Draw(t, "key"), Chat: true}
		moves, last := 0, model.EndpointID("")
		for step := 0; step <= 20; step++ {
			withheld := 1 - float64(step)/20
			p.Candidates[0].WithheldShare, p.Candidates[1].WithheldShare = withheld, withheld
			if at := first(p, q); at != last {
				moves, last = moves+1, at
			}
		}
		if moves > 2 {
			t.Fatalf("chat moved %d times", moves-1)
		}
	})
}

// Guards against a holder that keeps the chats of a data centre that returned to
// service, and against reclaiming chats whose home is in another data centre.
func TestHomeReclaimsItsChats(t *testing.T) {
	is := is.New(t)
	p := pool(6)
	p.Candidates[2].ReclaimsChats = true
	for i := range 200 {
		q := Query{Key: fmt.Sprint(i), Chat: true}
		home := first(p, q)
		q.ReturnToken = ReturnToken("e000")
		want := model.EndpointID("e000")
		if home == "e002" {
			want = home
		}
		is.Equal(first(p, q), want)
	}
}

// Guards against a difference between the order of all candidates and the order
// for a request.
func TestOrderMatchesPoolOrder(t *testing.T) {
	is := is.New(t)
	p := pool(12)
	for i := range 50 {
		key := fmt.Sprint(i)
		all := Order(key, ReturnToken("e005"), p.Candidates)
		is.Equal(len(all), 12)
		is.Equal(all[:4], p.Order(nil, Query{Key: key, Chat: true, ReturnToken: ReturnToken("e005")}, 4))
	}
}

// Guards against an eligibility filter that is missing from Filters.
func TestEachFilterDropsItsCandidates(t *testing.T) {
	is := is.New(t)
	p := NewPool([]model.Plan{"gold"}, []Candidate{{ID: "e", Weight: 1, Version: "v1"}})
	ok := Query{Key: "k", Plan: "gold", Version: "v1"}
	is.Equal(first(p, ok), model.EndpointID("e"))
	is.Equal(first(p, Query{Key: "k", Plan: "tin"}), model.EndpointID(""))
	is.Equal(first(p, Query{Key: "k", Plan: "gold", Version: "v2"}), model.EndpointID(""))
	p.Candidates[0].OutOfService = true
	is.Equal(first(p, ok), model.EndpointID(""))
	p.Candidates[0].OutOfService, p.Candidates[0].Leaving = false, true
	is.Equal(first(p, ok), model.EndpointID(""))
}

// Guards against ignoring the load for requests without a chat.
func TestWithoutChatTheLessLoadedOfTwoWins(t *testing.T) {
	is := is.New(t)
	p := pool(8)
	q := Query{Key: "request"}
	two := p.Order(nil, q, 2)
	is.Equal(len(two), 2)
	for i := range p.Candidates {
		if p.Candidates[i].ID == two[0].ID {
			p.Candidates[i].LoadRatio = 1.2
		}
	}
	is.Equal(first(p, q), two[1].ID)
}

// BenchmarkCapacityChoose measures one query of a pool of 170 endpoints, the size
// of each of 5 pools at the target size.
func BenchmarkCapacityChoose(b *testing.B) {
	p := pool(170)
	q := Query{Key: "workspace\x00chat-17", Chat: true, ReturnToken: ReturnToken("e017")}
	out := make([]Candidate, 0, MaxCandidates)
	b.ReportAllocs()
	for b.Loop() {
		out = p.Order(out[:0], q, 4)
	}
}
