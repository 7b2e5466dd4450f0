package exchange_test

import (
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
)

// Guards against a process that panics when it decodes or applies a malformed
// reply to a fetch.
func FuzzFetchReply(f *testing.F) {
	l := lists.New()
	l.Plans["gold"] = lists.Plan{Rate: 1}
	r, err := exchange.FromFetchReply(config.FetchReply{
		Offset: 3, ID: "a", Core: l, Page: []config.NamedWorkspace{{Name: "w"}}, Last: true,
	}, time.Unix(1, 0))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(r.Core, r.Page, []byte(`{"id":"x","base":-1}`), int64(3))
	f.Add([]byte("{"), []byte{0x1f, 0x8b}, []byte("null"), int64(-5))
	f.Fuzz(func(t *testing.T, core, page, record []byte, offset int64) {
		reply := exchange.FetchReply{
			Offset: offset, Core: core, Page: page, Last: true,
			Entries: []exchange.FetchedRecord{{Offset: offset, Data: record}},
		}
		m, err := reply.Model(time.Unix(1, 0))
		if err != nil {
			return
		}
		follower := config.NewFollower()
		_, _ = follower.ApplyPeer(follower.View().NextRequest(), m)
	})
}
