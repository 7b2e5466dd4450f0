package router

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/admission"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// scriptedEvents is a stream of events that ends with err.
type scriptedEvents struct {
	events [][]byte
	err    error
}

func (s *scriptedEvents) Next() ([]byte, error) {
	if len(s.events) == 0 {
		return nil, s.err
	}
	e := s.events[0]
	s.events = s.events[1:]
	return e, nil
}

func (*scriptedEvents) Close() {}

// Guards against admitted requests whose end is not reported, or twice: the router would
// refuse more and more, or admit more than its share.
func TestEndOfEachAdmittedRequestIsReportedOnce(t *testing.T) {
	event := [][]byte{[]byte("data: x\n\n")}
	notRun := refuseWithRetryAfter(model.ReasonOverloaded, "endpoint did not run the request", defaultRetryAfter)
	for name, c := range map[string]struct {
		answer *Answer
		err    error
		want   admission.Outcome
		began  int
		wait   time.Duration // that the caller is told
	}{
		"plain answer":             {answer: &Answer{}, want: admission.Answered},
		"whole stream":             {answer: &Answer{Events: &scriptedEvents{event, io.EOF}}, want: admission.Answered, began: 1},
		"stream that breaks off":   {answer: &Answer{Events: &scriptedEvents{event, errors.New("reset")}}, want: admission.Answered, began: 1},
		"stream without an event":  {answer: &Answer{Events: &scriptedEvents{[][]byte{[]byte(": wait\n\n")}, errors.New("reset")}}, want: admission.Abandoned},
		"rejected by endpoints":    {err: notRun, want: admission.NotRun, wait: time.Second},
		"wait longer than that":    {err: refuseWithRetryAfter(model.ReasonNoEndpoint, "limits", 3*time.Second), want: admission.NotRun, wait: 3 * time.Second},
		"deadline while it ran":    {err: &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonDeadline}, want: admission.Abandoned},
		"refused for other causes": {err: refuseWithRetryAfter(model.ReasonSuspect, "crashes", suspectRetryAfter), want: admission.NotRun, wait: suspectRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var ends []admission.Outcome
			began := 0
			f := shedRequest{
				enabled: true,
				decide: func(context.Context, *Request) (admission.Decision, error) {
					return admission.Decision{Admit: true, Reason: admission.Admitted, Ticket: 7}, nil
				},
				retryAfter: func(context.Context, *Request) time.Duration { return time.Second },
				firstEvent: func(ticket uint64) { is.Equal(ticket, uint64(7)); began++ },
				end:        func(ticket uint64, o admission.Outcome) { is.Equal(ticket, uint64(7)); ends = append(ends, o) },
			}
			answer, err := f.Handle(context.Background(), &Request{}, func(context.Context, *Request) (*Answer, error) { return c.answer, c.err })
			if err != nil {
				is.Equal(model.AsRefusal(err).RetryAfter, c.wait)
			} else if answer.Events != nil {
				for {
					if _, err := answer.Events.Next(); err != nil {
						break
					}
				}
				answer.Events.Close()
				answer.Events.Close()
			}
			is.Equal(ends, []admission.Outcome{c.want})
			is.Equal(began, c.began)
		})
	}
}

// Guards against refused requests that go on to an endpoint, and against refusals that do
// not state that nothing ran or when to return.
func TestRequestsThatAreNotAdmittedGoNoFurther(t *testing.T) {
	is := is.New(t)
	f := shedRequest{enabled: true, decide: func(context.Context, *Request) (admission.Decision, error) {
		return admission.Decision{Reason: admission.LessUrgent, RetryAfter: 700 * time.Millisecond}, nil
	}}
	_, err := f.Handle(context.Background(), &Request{}, func(context.Context, *Request) (*Answer, error) {
		t.Error("the request went on")
		return nil, nil
	})
	r := model.AsRefusal(err)
	is.Equal(r.Outcome, model.OutcomeNotRun)
	is.Equal(r.RetryAfter, 700*time.Millisecond)
}
