package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/wire"
)

// Guards against the refusal of an earlier attempt that counts for a later one of the
// same request: the later one may have run, and the request would run again.
func TestRefusalsOfOtherAttemptsProveNothing(t *testing.T) {
	for _, test := range []struct {
		attempt string
		outcome model.Outcome
	}{
		{"second", model.OutcomeNotRun},
		{"first", model.OutcomeUnknown},
		{"", model.OutcomeNotRun}, // of a side of an earlier version
	} {
		t.Run(test.attempt, func(t *testing.T) {
			is := is.New(t)
			w := httptest.NewRecorder()
			wire.WriteRefusal(w, "r", test.attempt, model.Refuse(model.ReasonOverloaded, "full"))
			is.Equal(w.Code, http.StatusConflict)
			_, err := decodeAnswer(&model.Request{ID: "r", AttemptID: "second"}, w.Result())
			is.Equal(model.AsRefusal(err).Outcome, test.outcome)
		})
	}
}
