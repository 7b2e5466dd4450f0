package endpointapi

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Guards against part of an engine's answer, or of an exported prefix, that is taken for the
// whole because it has no length and its connection ended. An answer ends with its last line,
// a prefix with the end of its object.
func TestPartsOfEngineAnswersAreNoAnswers(t *testing.T) {
	generate := func(e *Engine) error {
		a, err := e.Run(context.Background(), &model.Request{ID: "r", Cost: model.Cost{Generate: 4}})
		if err != nil {
			return err
		}
		defer a.Frames.Close()
		for {
			f, err := a.Frames.Next(context.Background())
			if err != nil || f.Kind == model.FrameEnd {
				return err
			}
		}
	}
	export := func(e *Engine) error { _, err := e.ExportKV(context.Background(), "c"); return err }
	for name, c := range map[string]struct {
		whole string
		call  func(*Engine) error
	}{
		"answer": {"{\"version\":\"v1\"}\n{\"token\":\"a\"}\n{\"token\":\"b\"}\n{\"done\":true}", generate},
		"prefix": {`{"chat":"c","tokens":12}`, export},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for n := range len(c.whole) + 1 {
				e := NewEngine(serveRaw(t, 1<<20, "HTTP/1.1 200 OK\r\n\r\n"+c.whole[:n], func(*net.TCPConn) {}), "engine")
				is.Equal(c.call(e) == nil, n == len(c.whole))
			}
		})
	}
}
