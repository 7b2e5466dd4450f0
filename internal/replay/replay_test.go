package replay

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

func frame(i int) model.Frame {
	return model.Frame{Request: "r", Index: i, Kind: model.FrameToken, Data: make([]byte, 100)}
}

// Guards against a reader that misses or repeats frames, or receives them with the
// id of the first request.
func TestReadersFollowFromAnyIndex(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	b := NewBuffer(1 << 20)
	b.Start(model.Answer{Status: 200}, 3)
	for i := 3; i < 8; i++ {
		b.Append(frame(i))
	}
	b.End(io.EOF)
	a, err := b.Answer(ctx, "repeat", 5)
	is.NoErr(err)
	for i := 5; i < 8; i++ {
		f, err := a.Frames.Next(ctx)
		is.NoErr(err)
		is.Equal(f.Index, i)
		is.Equal(f.Request, model.RequestID("repeat"))
	}
	_, err = a.Frames.Next(ctx)
	is.True(eris.Is(err, io.EOF))
	_, err = b.Answer(ctx, "repeat", 2)
	is.True(eris.Is(err, ErrDropped))
}

// Guards against a slow reader that keeps an unbounded number of frames in memory,
// receives an answer with missing frames, or slows down other readers.
func TestReaderThatFallsBehindGetsAnError(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	b := NewBuffer(10 * (100 + frameOverheadBytes))
	b.Start(model.Answer{}, 0)
	slow, _ := b.Answer(ctx, "slow", 0)
	fast, _ := b.Answer(ctx, "fast", 0)
	for i := range 50 {
		b.Append(frame(i))
		f, err := fast.Frames.Next(ctx)
		is.NoErr(err)
		is.Equal(f.Index, i)
	}
	is.True(b.Bytes() <= 10*(100+frameOverheadBytes))
	_, err := slow.Frames.Next(ctx)
	is.True(eris.Is(err, ErrDropped))
}

// Guards against a request that keeps running without readers, against cancelling
// one to which a reader was attached again within the grace time, and against
// cancelling one that must not run twice.
func TestRequestsWithoutReadersAreCancelledAfterTheGrace(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	x := NewIndex(Limits{AnswerBytes: 1000, TotalBytes: 1000, Retention: time.Minute, Grace: 10 * time.Second})
	cancelled := map[Key]bool{}
	for _, k := range []Key{"gone", "back"} {
		b := x.Create(k, 1, func(error) { cancelled[k] = true })
		x.Detach(k, b, now)
	}
	once := x.Create("once", 1, nil)
	x.Detach("once", once, now)
	_, result := x.Attach("back", 1)
	is.Equal(result, Attached)
	is.Equal(x.Sweep(now.Add(9*time.Second), io.EOF), 0)
	is.Equal(x.Sweep(now.Add(11*time.Second), io.EOF), 1)
	is.Equal(cancelled, map[Key]bool{"gone": true})
	_, result = x.Attach("back", 2)
	is.Equal(result, Mismatch) // another body with the same id
}

// Guards against an unbounded size of finished answers.
func TestFinishedAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	x := NewIndex(Limits{AnswerBytes: 1000, TotalBytes: 1000, Retention: time.Minute})
	for _, k := range []Key{"a", "b", "c"} {
		x.Finish(k, x.Create(k, 1, nil), 400, true, now)
	}
	is.Equal(x.Bytes(), int64(800))
	_, result := x.Attach("a", 1)
	is.Equal(result, Missing)
	x.Sweep(now.Add(time.Minute), io.EOF)
	is.Equal(x.Bytes(), int64(0))
}
