package side

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/replay"
)

// Events of the kept answers.
type (
	// attachRequest asks for the buffer of a request; a new one is created if
	// there is none.
	attachRequest struct {
		control.Question[attached]
		key         replay.Key
		fingerprint uint64
		handOver    string // of a non-idempotent request
		cancel      func(cause error)
		replace     bool // the kept answer lacks the wanted frames
		onlyKept    bool // refuse instead of creating
	}
	attached struct {
		buffer  *replay.Buffer
		created bool
		refusal *model.Refusal
	}
	// detached ends the reading of one reader.
	detached struct {
		key    replay.Key
		buffer *replay.Buffer
	}
	// runFinished ends the work behind a buffer.
	runFinished struct {
		key    replay.Key
		buffer *replay.Buffer
		bytes  int64
		keep   bool
		// refused is the hand-over that was refused as not run, if it was.
		refused string
	}
)

func (attachRequest) EventName() string { return "attach_request" }
func (detached) EventName() string      { return "detached" }
func (runFinished) EventName() string   { return "run_finished" }

// errNobodyReads ends work whose callers have gone.
var errNobodyReads = &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonCancelled, Detail: "nobody read the answer"}

// keepAnswers indexes running and kept answers.
type keepAnswers struct{}

func (keepAnswers) Name() string { return "keep_answers" }

func (st keepAnswers) Apply(s *State, now time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case attachRequest:
		ev.Reply(st.attach(s, now, ev))
	case detached:
		s.Replay.Detach(ev.key, ev.buffer, now)
	case runFinished:
		s.Replay.Finish(ev.key, ev.buffer, ev.bytes, ev.keep, now)
		s.refusals.Add(ev.refused, now)
	case control.Tick:
		s.refusals.Sweep(now)
		if n := s.Replay.Sweep(now, errNobodyReads); n > 0 {
			metrics.GetOrCreateCounter(`goldcrest_answers_cancelled_total`).Add(n)
		}
	}
	return false
}

func (keepAnswers) attach(s *State, now time.Time, ev attachRequest) attached {
	buffer, verdict := s.Replay.Attach(ev.key, ev.fingerprint)
	if verdict == replay.Attached && ev.replace {
		s.Replay.Detach(ev.key, buffer, now)
	}
	switch {
	case verdict == replay.Mismatch && !ev.onlyKept:
		return attached{refusal: model.Refuse(model.ReasonDuplicate, "the id or key belongs to another request")}
	case verdict == replay.Attached && !ev.replace:
		metrics.GetOrCreateCounter(`goldcrest_answers_attached_total`).Inc()
		return attached{buffer: buffer}
	case ev.onlyKept:
		return attached{refusal: &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonNotKept, Detail: "no answer of this request is kept"}}
	case s.refusals.Has(ev.handOver):
		return attached{refusal: model.Refuse(model.ReasonDuplicate, "this hand-over was refused before")}
	case s.Draining != "":
		s.refusals.Add(ev.handOver, now)
		return attached{refusal: model.Refuse(s.Draining, "the endpoint takes no new work")}
	}
	return attached{buffer: s.Replay.Create(ev.key, ev.fingerprint, ev.cancel), created: true}
}
