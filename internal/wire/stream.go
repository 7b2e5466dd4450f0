package wire

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// ErrCut is the error of an answer that ends before its end frame.
var ErrCut = eris.New("wire: answer ended before its end frame")

// WriteAnswer writes the head and all frames of a to w and flushes after each.
func WriteAnswer(ctx context.Context, w http.ResponseWriter, a *model.Answer) error {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	enc, rc := json.NewEncoder(w), http.NewResponseController(w)
	head := Head{
		Request: a.Request, Status: a.Status, ContentType: a.ContentType, Endpoint: a.Endpoint,
		Version: a.Version, LoadRatio: a.LoadRatio, CachedUnits: a.CachedUnits,
		QueueUS: a.Stages.Get(model.StageQueue).Microseconds(),
		AdmitUS: a.Stages.Get(model.StageAdmit).Microseconds(),
	}
	if err := enc.Encode(head); err != nil {
		return eris.Wrap(err, "wire: head not written")
	}
	for {
		f, err := a.Frames.Next(ctx)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "wire: source of the answer failed")
		}
		if err := enc.Encode(Frame{Request: f.Request, Index: f.Index, Kind: f.Kind, Data: f.Data}); err != nil {
			return eris.Wrap(err, "wire: frame not written")
		}
		if err := rc.Flush(); err != nil {
			return eris.Wrap(err, "wire: frame not flushed")
		}
	}
}

// Reader decodes the answer of a side process. It implements model.FrameReader.
type Reader struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	ended   bool
}

// NewReader returns a reader of body and its decoded head.
func NewReader(body io.ReadCloser) (*Reader, Head, error) {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, 4096), MaxFrameBytes)
	r := &Reader{body: body, scanner: s}
	var head Head
	if err := r.line(&head); err != nil {
		return nil, Head{}, eris.Wrap(err, "wire: head is malformed")
	}
	return r, head, nil
}

// Next implements model.FrameReader. The body must be bound to the request's
// context by its creator, since a read cannot be interrupted otherwise.
func (r *Reader) Next(context.Context) (model.Frame, error) {
	if r.ended {
		return model.Frame{}, io.EOF
	}
	var f Frame
	if err := r.line(&f); err != nil {
		return model.Frame{}, err
	}
	r.ended = f.Kind == model.FrameEnd
	return model.Frame{Request: f.Request, Index: f.Index, Kind: f.Kind, Data: f.Data}, nil
}

// Close implements model.FrameReader.
func (r *Reader) Close() error { return r.body.Close() }

func (r *Reader) line(out any) error {
	if !r.scanner.Scan() {
		if err := r.scanner.Err(); err != nil {
			return eris.Wrap(err, "wire: answer cannot be read")
		}
		return ErrCut
	}
	return eris.Wrap(json.Unmarshal(r.scanner.Bytes(), out), "wire: line is malformed")
}
