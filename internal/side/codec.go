package side

import (
	"context"
	"net/http"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/wire"
)

type requestKey struct{}

// withRequest makes room for the id of the request, which a refusal names.
func withRequest(ctx context.Context, _ *http.Request) context.Context {
	return context.WithValue(ctx, requestKey{}, new(model.RequestID))
}

func noteRequest(ctx context.Context, id model.RequestID) {
	if to, ok := ctx.Value(requestKey{}).(*model.RequestID); ok {
		*to = id
	}
}

func decodeRun(ctx context.Context, r *http.Request) (any, error) {
	w, err := wire.DecodeRequest(r.Body)
	if err != nil {
		return nil, model.Refuse(model.ReasonBadRequest, err.Error())
	}
	noteRequest(ctx, w.ID)
	return w.Model(time.Now()), nil
}

func decodeResume(ctx context.Context, r *http.Request) (any, error) {
	req, err := wire.DecodeResume(r.URL.Query())
	if err != nil {
		return nil, model.Refuse(model.ReasonBadRequest, err.Error())
	}
	noteRequest(ctx, req.ID)
	return req, nil
}

// encodeRun writes an answer. An error after the head cuts the connection, so
// the entry sees that the end frame is missing.
func encodeRun(ctx context.Context, w http.ResponseWriter, response any) error {
	a := response.(*model.Answer)
	defer a.Frames.Close()
	if err := wire.WriteAnswer(ctx, w, a); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

func encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	id, _ := ctx.Value(requestKey{}).(*model.RequestID)
	if id == nil {
		id = new(model.RequestID)
	}
	wire.WriteRefusal(w, *id, model.AsRefusal(err))
}
