package side

import (
	"context"
	"net/http"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/wire"
)

func decodeRun(_ context.Context, r *http.Request) (any, error) {
	w, err := wire.DecodeRequest(r.Body)
	if err != nil {
		return nil, model.Refuse(model.ReasonBadRequest, err.Error())
	}
	return w.Model(time.Now()), nil
}

func decodeResume(_ context.Context, r *http.Request) (any, error) {
	req, err := wire.DecodeResume(r.URL.Query())
	if err != nil {
		return nil, model.Refuse(model.ReasonBadRequest, err.Error())
	}
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

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	wire.WriteRefusal(w, model.AsRefusal(err))
}
