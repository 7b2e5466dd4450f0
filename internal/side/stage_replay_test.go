package side

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Guards against a late copy of an attempt that runs after the attempt was refused as
// not run.
func TestCopyOfRefusedAttemptDoesNotRun(t *testing.T) {
	is := is.New(t)
	s, st, now := newState(Settings{}), keepAnswers{}, time.Unix(0, 0)
	attach := func(attemptID string) attachReply {
		ev := attachRequest{Question: control.NewQuestion[attachReply](), key: "k", attemptID: attemptID}
		st.Apply(s, now, ev)
		ev.SendReply()
		return <-ev.ReplyChan()
	}
	first := attach("one")
	is.True(first.created)
	st.Apply(s, now, runFinished{key: "k", buffer: first.buffer, refusedAttempt: "one"})
	copyReply := attach("one")
	is.True(!copyReply.created)
	is.Equal(copyReply.refusal.Outcome, model.OutcomeNotRun)
	is.True(attach("two").created) // a new attempt of the same request
}
