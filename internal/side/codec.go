package side

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/listener"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/wire"
)

// memoryRetryAfter is how soon an entry may send a request again whose body did not fit.
const memoryRetryAfter = time.Second

// requestIDsKey is the context key of a *requestIDs.
type requestIDsKey struct{}

// requestIDs are the ids that a refusal names.
type requestIDs struct {
	request model.RequestID
	attempt string // empty if the attempt has no id
}

// withRequestIDs adds a variable for the ids of the request to ctx. The decoder sets
// it, and a refusal names them.
func withRequestIDs(ctx context.Context, _ *http.Request) context.Context {
	return context.WithValue(ctx, requestIDsKey{}, new(requestIDs))
}

func setRequestIDs(ctx context.Context, ids requestIDs) {
	if p, ok := ctx.Value(requestIDsKey{}).(*requestIDs); ok {
		*p = ids
	}
}

func decodeRun(ctx context.Context, r *http.Request) (any, error) {
	w, err := wire.DecodeRequest(r.Body)
	if errors.Is(err, listener.ErrMemory) {
		refusal := model.Refuse(model.ReasonMemory, err.Error())
		refusal.RetryAfter = memoryRetryAfter
		return nil, refusal
	}
	if err != nil {
		return nil, model.Refuse(model.ReasonBadRequest, err.Error())
	}
	setRequestIDs(ctx, requestIDs{w.ID, w.AttemptID})
	return w.Model(time.Now()), nil
}

func decodeResume(ctx context.Context, r *http.Request) (any, error) {
	req, err := wire.DecodeResume(r.URL.Query())
	if err != nil {
		return nil, model.Refuse(model.ReasonBadRequest, err.Error())
	}
	setRequestIDs(ctx, requestIDs{request: req.ID})
	return req, nil
}

// encodeRun writes an answer. An error after the response head closes the
// connection, so that the entry sees that the end frame is missing.
func encodeRun(ctx context.Context, w http.ResponseWriter, response any) error {
	a := response.(*model.Answer)
	defer a.Frames.Close()
	if err := wire.WriteAnswer(ctx, w, a); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

func encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	ids, _ := ctx.Value(requestIDsKey{}).(*requestIDs)
	if ids == nil {
		ids = new(requestIDs)
	}
	wire.WriteRefusal(w, ids.request, ids.attempt, model.AsRefusal(err))
}
