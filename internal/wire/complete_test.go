package wire

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// frames is an answer of the given frames.
type frames []model.Frame

func (f *frames) Next(context.Context) (model.Frame, error) {
	if len(*f) == 0 {
		return model.Frame{}, io.EOF
	}
	next := (*f)[0]
	*f = (*f)[1:]
	return next, nil
}

func (*frames) Close() error { return nil }

// Guards against part of a side's answer that an entry takes for the whole because the
// connection ended. Only the end frame ends an answer.
func TestPartsOfAnswersHaveNoEndFrame(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	is.NoErr(WriteAnswer(context.Background(), w, &model.Answer{Request: "r", Status: 200, Stages: &model.StageTimes{}, Frames: &frames{
		{Request: "r", Index: 0, Kind: model.FrameToken, Data: []byte("a")}, {Request: "r", Index: 1, Kind: model.FrameEnd},
	}}))
	whole := strings.TrimSuffix(w.Body.String(), "\n")
	for n := range len(whole) + 1 {
		complete := false
		if r, _, err := NewReader(io.NopCloser(strings.NewReader(whole[:n]))); err == nil {
			for err == nil && !complete {
				var f model.Frame
				f, err = r.Next(context.Background())
				complete = err == nil && f.Kind == model.FrameEnd
			}
		}
		is.Equal(complete, n == len(whole))
	}
}
