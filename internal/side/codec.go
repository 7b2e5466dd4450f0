package side

import (
	"context"
	"net/http"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/wire"
)

// requestIDKey is the context key of a *model.RequestID.
type requestIDKey struct{}

// withRequestID adds a variable for the id of the request to ctx. The decoder sets
// it, and a refusal names it.
func withRequestID(ctx context.Context, _ *http.Request) context.Context {
	return context.WithValue(ctx, requestIDKey{}, new(model.RequestID))
}

func setRequestID(ctx context.Context, id model.RequestID) {
	if p, ok := ctx.Value(requestIDKey{}).(*model.RequestID); ok {
		*p = id
	}
}

func decodeRun(ctx context.Context, r *http.Request) (any, error) {
	w, err := wire.DecodeRequest(r.Body)
	if err != nil {
		return nil, model.Refuse(model.ReasonBadRequest, err.Error())
	}
	setRequestID(ctx, w.ID)
	return w.Model(time.Now()), nil
}

func decodeResume(ctx context.Context, r *http.Request) (any, error) {
	req, err := wire.DecodeResume(r.URL.Query())
	if err != nil {
		return nil, model.Refuse(model.ReasonBadRequest, err.Error())
	}
	setRequestID(ctx, req.ID)
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
	id, _ := ctx.Value(requestIDKey{}).(*model.RequestID)
	if id == nil {
		id = new(model.RequestID)
	}
	wire.WriteRefusal(w, *id, model.AsRefusal(err))
}
