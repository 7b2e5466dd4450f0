package router

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Guards against memory that fills with the names in forged messages, and against
// addresses of routers that ended long ago and are kept for ever.
func TestNamesInMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	s := newState(Settings{Instance: "router-1"})
	now := time.Unix(1_700_000_000, 0)
	for i := range 2 * maxRouters {
		applyPeers{log}.Apply(s, now, peerMessage{name: fmt.Sprint("forged-", i)})
	}
	is.Equal(len(s.addresses), maxRouters)
	is.True(len(s.table.LivePeers(now)) <= maxRouters)
	later := now.Add(time.Hour)
	applyList{log: log}.Apply(s, later, membersRead{[]Member{{Instance: "router-2", Address: "10.1.0.2:7340"}}})
	is.Equal(len(s.addresses), 1)
	is.Equal(s.addresses[model.InstanceID("router-2")].address, "10.1.0.2:7340")
}
