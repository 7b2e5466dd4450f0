package side

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/replay"
)

// Events of running and kept answers.
type (
	// attachRequest asks for the buffer of the answer to a request. A new buffer is
	// created if there is none.
	attachRequest struct {
		control.Question[attachReply]
		key          replay.Key
		fingerprint  uint64
		attemptID    string // of a non-idempotent request
		cancel       func(cause error)
		replaceKept  bool // the kept answer lacks the requested frames
		onlyExisting bool // refuse instead of creating a buffer
	}
	attachReply struct {
		buffer  *replay.Buffer
		created bool
		refusal *model.Refusal
	}
	// readerDetached reports that a reader of a buffer has ended.
	readerDetached struct {
		key    replay.Key
		buffer *replay.Buffer
	}
	// runFinished reports the end of the run that fills a buffer.
	runFinished struct {
		key    replay.Key
		buffer *replay.Buffer
		bytes  int64
		keep   bool
		// refusedAttempt is the id of the attempt if it was refused as not run.
		refusedAttempt string
	}
)

func (attachRequest) EventName() string  { return "attach_request" }
func (readerDetached) EventName() string { return "detached" }
func (runFinished) EventName() string    { return "run_finished" }

// errNoReaders cancels a run whose answer nobody reads.
var errNoReaders = &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonCancelled, Detail: "nobody read the answer"}

// keepAnswers indexes running and kept answers.
type keepAnswers struct{}

func (keepAnswers) Name() string { return "keep_answers" }

func (st keepAnswers) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case attachRequest:
		ev.Reply(st.attach(s, now, ev))
	case readerDetached:
		s.Replay.Detach(ev.key, ev.buffer, now)
	case runFinished:
		s.Replay.Finish(ev.key, ev.buffer, ev.bytes, ev.keep, now)
		s.refusedAttempts.Add(ev.refusedAttempt, now)
	case control.Tick:
		s.refusedAttempts.Sweep(now)
		if n := s.Replay.Sweep(now, errNoReaders); n > 0 {
			metrics.GetOrCreateCounter(`goldcrest_answers_cancelled_total`).Add(n)
		}
	}
	return false
}

func (keepAnswers) attach(s *State, now time.Time, ev attachRequest) attachReply {
	buffer, result := s.Replay.Attach(ev.key, ev.fingerprint)
	if result == replay.Attached && ev.replaceKept {
		s.Replay.Detach(ev.key, buffer, now)
	}
	switch {
	case result == replay.Mismatch && !ev.onlyExisting:
		return attachReply{refusal: model.Refuse(model.ReasonDuplicate, "the id or key belongs to another request")}
	case result == replay.Attached && !ev.replaceKept:
		metrics.GetOrCreateCounter(`goldcrest_answers_attached_total`).Inc()
		return attachReply{buffer: buffer}
	case ev.onlyExisting:
		return attachReply{refusal: &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonNotKept, Detail: "no answer of this request is kept"}}
	case s.refusedAttempts.Has(ev.attemptID):
		return attachReply{refusal: model.Refuse(model.ReasonDuplicate, "this hand-over was refused before")}
	case s.Draining != "":
		s.refusedAttempts.Add(ev.attemptID, now)
		return attachReply{refusal: model.Refuse(s.Draining, "the endpoint takes no new work")}
	}
	return attachReply{buffer: s.Replay.Create(ev.key, ev.fingerprint, ev.cancel), created: true}
}
