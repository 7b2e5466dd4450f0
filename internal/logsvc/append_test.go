package logsvc

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

var errLost = eris.New("answer lost")

// oneStream is a log with one stream whose append answers can be lost.
type oneStream struct {
	records  []Record
	lose     bool // the append takes effect and its answer is lost
	refuse   bool // the append does not take effect
	readDown bool
}

func (l *oneStream) Append(_ context.Context, _ string, data []byte) (int64, error) {
	if l.refuse {
		return 0, errLost
	}
	l.records = append(l.records, Record{Offset: int64(len(l.records)), Data: data})
	if l.lose {
		return 0, errLost
	}
	return int64(len(l.records) - 1), nil
}

func (l *oneStream) Read(_ context.Context, _ string, from int64, _ time.Duration) (Batch, error) {
	if l.readDown {
		return Batch{}, errLost
	}
	from = min(from, int64(len(l.records)))
	end := min(from+2, int64(len(l.records)))
	return Batch{Next: end, Records: l.records[from:end]}, nil
}

// Guards against an append whose lost answer is taken for a failure, and
// against a failure that is taken for an append.
func TestLostAppendAnswerIsResolvedByReading(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := &oneStream{}
	for range 5 {
		_, _ = log.Append(ctx, "s", []byte(`{"id":"other"}`))
	}
	log.lose = true
	got := AppendOnce(ctx, log, "s", "mine", []byte(`{"id":"mine"}`), 0)
	is.Equal(got.State, AppendDone)
	is.Equal(got.Offset, int64(5))
	log.refuse = true
	got = AppendOnce(ctx, log, "s", "second", []byte(`{"id":"second"}`), 0)
	is.Equal(got.State, AppendNotFound)
	is.Equal(got.Offset, int64(6))
	log.readDown = true
	is.Equal(AppendOnce(ctx, log, "s", "third", nil, 0).State, AppendUnknown)
}

// Guards against a record of the log service that stops a reader.
func FuzzRecordID(f *testing.F) {
	f.Add([]byte(`{"id":"a","entries":[]}`))
	f.Add([]byte(`{"id":5}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if id := RecordID(data); id != "" && !json.Valid(data) {
			t.Errorf("id %q from data that is not JSON", id)
		}
	})
}

// Guards against an answer of the log service that stops a reader.
func FuzzBatch(f *testing.F) {
	f.Add([]byte(`{"first":0,"next":1,"records":[{"offset":0,"appended_ms":1,"data":"e30="}]}`))
	f.Add([]byte(`{"records":[{}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var b Batch
		if json.Unmarshal(data, &b) == nil {
			for _, r := range b.Records {
				_ = RecordID(r.Data)
			}
		}
	})
}
