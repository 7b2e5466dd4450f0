package measure

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/claim"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/replay"
	"github.com/goldcrestturn/goldcrestturn/internal/wire"
)

func benchClaims(n int, kind claim.Kind, body []byte) claim.Record {
	rec := claim.Record{ID: "bench"}
	for i := range n {
		it := claim.Item{Kind: kind, ID: fmt.Sprint("process-7-", i), Pool: "stock", Owner: "stock-1",
			Key: claim.Key{byte(i), byte(i >> 8), byte(i >> 16)}, Epoch: 0, Fingerprint: uint64(i) << 40}
		if kind == claim.KindResult {
			it.Claim, it.Outcome = claim.Position{Offset: 1, Index: i}, model.OutcomeRan
			it.Answer = &claim.Answer{Status: 200, ContentType: "application/json", Body: body}
		}
		rec.Items = append(rec.Items, it)
	}
	return rec
}

// BenchmarkCapacityClaim measures the control work of the owner for one claim:
// the request, the job, the fold of its own record and the result.
func BenchmarkCapacityClaim(b *testing.B) {
	id := claim.Identity{Pool: "stock", Self: "stock-1", Process: "p"}
	o := claim.NewOwner(id, 0, claim.Limits{Keys: 1 << 30, AnswerBytes: 1 << 20}, claim.Disabled{})
	now := time.Unix(0, 0)
	next := int64(0)
	job := func() {
		j, ok := o.NextJob(now)
		if !ok {
			return
		}
		var res claim.JobResult
		batch := claim.Batch{Next: next}
		if len(j.Items) > 0 {
			res.Append = logsvc.AppendResult{State: logsvc.AppendDone, Offset: next}
			batch.Records = []claim.StoredRecord{{Offset: next, Record: claim.Record{ID: "r", Items: j.Items}}}
			next++
			batch.Next = next
		}
		o.Feed(batch)
		o.JobDone(now, j, res)
	}
	answer := &claim.Answer{Status: 200, Body: make([]byte, 200)}
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		i++
		o.Request(now, claim.Call{Token: i, Key: claim.Key{0, byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)}})
		for range 3 {
			job()
		}
		o.Finish(now, i, model.OutcomeRan, answer)
		now = now.Add(time.Second)
		job()
	}
}

// BenchmarkCapacityTakeoverFold measures the time per record of the replay at a
// takeover, including decoding. A record holds one claim, as it does at low load.
func BenchmarkCapacityTakeoverFold(b *testing.B) {
	var batch logsvc.Batch
	for i := range 1000 {
		rec := benchClaims(1, claim.KindClaim, nil)
		rec.Items[0].Key = claim.Key{1, byte(i), byte(i >> 8)}
		data, err := rec.Encode()
		if err != nil {
			b.Fatal(err)
		}
		batch.Records = append(batch.Records, logsvc.Record{Offset: int64(i + 1), Data: data})
	}
	b.ReportAllocs()
	records := 0
	for b.Loop() {
		f := claim.NewFold(claim.Limits{Keys: 1 << 20, AnswerBytes: 1 << 20})
		f.Apply(0, 0, claim.Record{Items: []claim.Item{{Kind: claim.KindEpoch, ID: "e", Pool: "stock", Owner: "stock-1"}}})
		f.ApplyBatch(claim.DecodeBatch(batch))
		records += f.Len()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(records), "ns/record")
}

// BenchmarkCapacityGroupCommit measures the record bytes and the encoding time
// of a claim and of a result with an answer of 200 bytes, alone and in a batch of
// 64.
func BenchmarkCapacityGroupCommit(b *testing.B) {
	for _, n := range []int{1, 64} {
		for _, kind := range []claim.Kind{claim.KindClaim, claim.KindResult} {
			b.Run(fmt.Sprintf("%s/%d", kind, n), func(b *testing.B) {
				rec := benchClaims(n, kind, make([]byte, 200))
				size := 0
				for b.Loop() {
					data, err := rec.Encode()
					if err != nil {
						b.Fatal(err)
					}
					size = len(data)
				}
				b.ReportMetric(float64(size)/float64(n), "bytes/item")
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/item")
			})
		}
	}
}

// BenchmarkCapacityKeptKey measures the memory of one stored key.
func BenchmarkCapacityKeptKey(b *testing.B) {
	f := claim.NewFold(claim.Limits{Keys: 1 << 30, AnswerBytes: 1 << 30})
	f.Apply(0, 0, claim.Record{Items: []claim.Item{{Kind: claim.KindEpoch, ID: "e", Pool: "stock", Owner: "stock-1"}}})
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		f.Apply(int64(i), 0, claim.Record{Items: []claim.Item{{Kind: claim.KindClaim, ID: "process-7-1", Pool: "stock", Owner: "stock-1",
			Key: claim.Key{byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)}}}})
	}
}

// BenchmarkCapacityKeptFrame measures the time and memory of one frame in a
// stored answer that one reader follows.
func BenchmarkCapacityKeptFrame(b *testing.B) {
	buffer := replay.NewBuffer(4 << 20)
	buffer.Start(model.Answer{}, 0)
	ctx := context.Background()
	a, err := buffer.Answer(ctx, "r", 0)
	if err != nil {
		b.Fatal(err)
	}
	data := []byte("token ")
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		buffer.Append(model.Frame{Request: "r", Index: i, Kind: model.FrameToken, Data: data})
		if _, err := a.Frames.Next(ctx); err != nil {
			b.Fatal(err)
		}
		i++
	}
}

// countedFrames yields n frames and the end.
type countedFrames struct{ i, n int }

func (c *countedFrames) Next(context.Context) (model.Frame, error) {
	f := model.Frame{Request: "request-1", Index: c.i, Kind: model.FrameToken, Data: []byte("token ")}
	if c.i > c.n {
		return f, io.EOF
	}
	if c.i == c.n {
		f.Kind, f.Data = model.FrameEnd, nil
	}
	c.i++
	return f, nil
}

func (c *countedFrames) Close() error { return nil }

// BenchmarkCapacityFrameSide measures the encoding of one frame at the side,
// without the socket.
func BenchmarkCapacityFrameSide(b *testing.B) {
	const frames = 1000
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		w := httptest.NewRecorder()
		if err := wire.WriteAnswer(context.Background(), w, &model.Answer{Request: "request-1", Frames: &countedFrames{n: frames}}); err != nil {
			b.Fatal(err)
		}
		size = w.Body.Len()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*frames), "ns/frame")
	b.ReportMetric(float64(size)/frames, "bytes/frame")
}

// BenchmarkCapacityFrameEntry measures the decoding of one frame at the entry,
// without the socket.
func BenchmarkCapacityFrameEntry(b *testing.B) {
	const frames = 1000
	w := httptest.NewRecorder()
	if err := wire.WriteAnswer(context.Background(), w, &model.Answer{Request: "request-1", Frames: &countedFrames{n: frames}}); err != nil {
		b.Fatal(err)
	}
	if w.Code != http.StatusOK {
		b.Fatal(w.Code)
	}
	data := w.Body.Bytes()
	b.ReportAllocs()
	for b.Loop() {
		r, _, err := wire.NewReader(io.NopCloser(bytes.NewReader(data)))
		if err != nil {
			b.Fatal(err)
		}
		for err == nil {
			_, err = r.Next(context.Background())
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*frames), "ns/frame")
}
