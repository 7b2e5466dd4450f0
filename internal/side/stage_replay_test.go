package side

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Guards against a late copy of a hand-over that runs after its caller was told
// that it did not run.
func TestCopyOfARefusedHandOverDoesNotRun(t *testing.T) {
	is := is.New(t)
	s, st, now := newState(Settings{}), keepAnswers{}, time.Unix(0, 0)
	attach := func(handOver string) attached {
		ev := attachRequest{Question: control.NewQuestion[attached](), key: "k", handOver: handOver}
		st.Apply(s, now, ev)
		ev.SendReply()
		return <-ev.ReplyChan()
	}
	first := attach("one")
	is.True(first.created)
	st.Apply(s, now, runFinished{key: "k", buffer: first.buffer, refused: "one"})
	copied := attach("one")
	is.True(!copied.created)
	is.Equal(copied.refusal.Outcome, model.OutcomeNotRun)
	is.True(attach("two").created) // the caller sends again
}
