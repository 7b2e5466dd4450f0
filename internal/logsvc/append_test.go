package logsvc

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

var errFailed = eris.New("log service failed")

// fakeLog is a log with one stream, whose appends and reads can fail.
type fakeLog struct {
	records       []Record
	loseAnswers   bool // the append takes effect and its answer is lost
	refuseAppends bool // the append does not take effect
	failReads     bool
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	if l.refuseAppends {
		return 0, errFailed
	}
	l.records = append(l.records, Record{Offset: int64(len(l.records)), Data: data})
	if l.loseAnswers {
		return 0, errFailed
	}
	return int64(len(l.records) - 1), nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from int64, _ time.Duration) (Batch, error) {
	if l.failReads {
		return Batch{}, errFailed
	}
	from = min(from, int64(len(l.records)))
	end := min(from+2, int64(len(l.records)))
	return Batch{Next: end, Records: l.records[from:end]}, nil
}

// Guards against an append that is reported as failed because its answer was
// lost, and against a failed append that is reported as done.
func TestLostAppendAnswerIsResolvedByReading(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := &fakeLog{}
	for range 5 {
		_, _ = log.Append(ctx, "s", []byte(`{"id":"other"}`))
	}
	log.loseAnswers = true
	got := AppendOnce(ctx, log, "s", "mine", []byte(`{"id":"mine"}`), 0)
	is.Equal(got.State, AppendDone)
	is.Equal(got.Offset, int64(5))
	log.refuseAppends = true
	got = AppendOnce(ctx, log, "s", "second", []byte(`{"id":"second"}`), 0)
	is.Equal(got.State, AppendNotFound)
	is.Equal(got.Offset, int64(6))
	log.failReads = true
	is.Equal(AppendOnce(ctx, log, "s", "third", nil, 0).State, AppendUnknown)
}

// Guards against a malformed record that makes a reader panic.
func FuzzRecordID(f *testing.F) {
	f.Add([]byte(`{"id":"a","entries":[]}`))
	f.Add([]byte(`{"id":5}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if id := RecordID(data); id != "" && !json.Valid(data) {
			t.Errorf("got id %q from data that is not JSON", id)
		}
	})
}

// Guards against a malformed answer of the log service that makes a reader panic.
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
