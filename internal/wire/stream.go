package wire

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// ErrTruncated is the error of an answer that ends before its end frame.
var ErrTruncated = eris.New("wire: answer ended before its end frame")

// SlowReaderTimeout bounds the time in which the reader must accept one frame.
// It is far above the time between tokens, so that only a reader that has
// stopped is disconnected.
const SlowReaderTimeout = 10 * time.Second

// errorFrame returns the last frame of a truncated answer, which carries the reason
// err.
func errorFrame(id model.RequestID, err error) Frame {
	data, _ := json.Marshal(FromRefusal(id, model.AsRefusal(err)))
	return Frame{Request: id, Index: -1, Kind: model.FrameError, Data: data}
}

func decodeErrorFrame(f Frame) error {
	var r Refusal
	if json.Unmarshal(f.Data, &r) != nil || r.Outcome == "" {
		return ErrTruncated
	}
	return r.Model()
}

// WriteAnswer writes the head and all frames of a to w and flushes after each
// frame. A reader that does not accept a frame within SlowReaderTimeout is
// disconnected.
func WriteAnswer(ctx context.Context, w http.ResponseWriter, a *model.Answer) error {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	enc, rc := json.NewEncoder(w), http.NewResponseController(w)
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	head := Head{
		Request: a.Request, Status: a.Status, ContentType: a.ContentType, Endpoint: a.Endpoint,
		Version: a.Version, LoadRatio: a.LoadRatio, CachedUnits: a.CachedUnits,
		QueueUS: a.Stages.Get(model.StageQueue).Microseconds(),
		AdmitUS: a.Stages.Get(model.StageAdmit).Microseconds(),
	}
	if err := enc.Encode(head); err != nil {
		return eris.Wrap(err, "wire: head cannot be written")
	}
	for {
		f, err := a.Frames.Next(ctx)
		if errors.Is(err, io.EOF) {
			return nil
		}
		_ = rc.SetWriteDeadline(time.Now().Add(SlowReaderTimeout))
		if err != nil {
			_ = enc.Encode(errorFrame(a.Request, err))
			_ = rc.Flush()
			return eris.Wrap(err, "wire: answer cannot be read from its source")
		}
		if err := enc.Encode(Frame{Request: f.Request, Index: f.Index, Kind: f.Kind, Data: f.Data}); err != nil {
			return eris.Wrap(err, "wire: frame cannot be written")
		}
		if err := rc.Flush(); err != nil {
			return eris.Wrap(err, "wire: frame cannot be flushed")
		}
	}
}

// Reader decodes the answer of a side. It implements model.FrameReader.
type Reader struct {
	request model.RequestID
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
	if err := r.readLine(&head); err != nil {
		return nil, Head{}, eris.Wrap(err, "wire: head is malformed")
	}
	r.request = head.Request
	return r, head, nil
}

// Next implements model.FrameReader. It ignores its context: the code that creates the
// body must bind it to the request's context, which is the only way to interrupt
// a read.
func (r *Reader) Next(context.Context) (model.Frame, error) {
	if r.ended {
		return model.Frame{}, io.EOF
	}
	var f Frame
	if err := r.readLine(&f); err != nil {
		return model.Frame{}, err
	}
	if f.Request == r.request && f.Kind == model.FrameError {
		return model.Frame{}, decodeErrorFrame(f)
	}
	r.ended = f.Request == r.request && f.Kind == model.FrameEnd
	return model.Frame{Request: f.Request, Index: f.Index, Kind: f.Kind, Data: f.Data}, nil
}

// Close implements model.FrameReader.
func (r *Reader) Close() error { return r.body.Close() }

func (r *Reader) readLine(out any) error {
	if !r.scanner.Scan() {
		if err := r.scanner.Err(); err != nil {
			return eris.Wrap(err, "wire: answer cannot be read")
		}
		return ErrTruncated
	}
	return eris.Wrap(json.Unmarshal(r.scanner.Bytes(), out), "wire: line is malformed")
}
