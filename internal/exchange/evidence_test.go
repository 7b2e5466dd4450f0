package exchange

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/rollout"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
	"github.com/goldcrestturn/goldcrestturn/internal/timing"
)

func sampleEvidence(routes int) rollout.Evidence {
	e := rollout.Evidence{}
	for r := range routes {
		for _, v := range []model.Version{"v1", "v2"} {
			e[rollout.Key{Rollout: "chat-v2-20260101-000000", Version: v, Route: model.Route(fmt.Sprint("chat/route-", r))}] =
				rollout.Counts{Requests: 10_000, Failures: 50, Slow: 200}
		}
	}
	return e
}

func sampleTimes(routes int) timing.Sums {
	sums := timing.Sums{}
	for r := range routes {
		for s := range model.StageCount {
			k := timing.Key{Endpoint: "engine-17", Pool: "chat", Version: "v1", Route: model.Route(fmt.Sprint("chat/route-", r)), Stage: s}
			sums[k] = timing.Sum{Requests: 40, Time: 20 * time.Second}
		}
	}
	return sums
}

// Guards against counts or times that change when they are encoded as a message
// and decoded.
func TestEvidenceAndTimesRoundTrip(t *testing.T) {
	is := is.New(t)
	k := summary.Key{Pool: "chat", Region: "akl"}
	gotKey, e, err := FromEvidence(k, "engine-17", false, "chat-v2-20260101-000000", sampleEvidence(4)).Model()
	is.NoErr(err)
	is.Equal(gotKey, k)
	is.Equal(e, sampleEvidence(4))
	sums, err := FromTimes("engine-17", "chat", sampleTimes(4)).Model()
	is.NoErr(err)
	is.Equal(sums, sampleTimes(4))
}

// Guards against messages that fill the tables of an aggregator, since they exceed
// their bounds.
func TestEvidenceOutOfBoundsIsRefused(t *testing.T) {
	is := is.New(t)
	good := FromEvidence(summary.Key{Pool: "chat"}, "engine", false, "chat-v2-20260101-000000", sampleEvidence(1))
	for _, corrupt := range []func(a *EvidenceArgs){
		func(a *EvidenceArgs) { a.Source = "" },
		func(a *EvidenceArgs) { a.Items[0].Requests = -1 },
		func(a *EvidenceArgs) { a.Items[0].Route = strings.Repeat("r", maxIDBytes+1) },
		func(a *EvidenceArgs) { a.Items = make([]EvidenceItem, maxEvidence+1) },
	} {
		a := good
		a.Items = append([]EvidenceItem{}, good.Items...)
		corrupt(&a)
		_, _, err := a.Model()
		is.Equal(err, ErrMalformed)
	}
	_, err := TimesArgs{Rows: []TimeRow{{US: []int64{1}}}}.Model()
	is.Equal(err, ErrMalformed)
}

// gobBytes returns the size of the second message of a type on a connection,
// which carries no type description.
func gobBytes(b *testing.B, v any) float64 {
	b.Helper()
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	for range 2 {
		buf.Reset()
		if err := enc.Encode(v); err != nil {
			b.Fatal(err)
		}
	}
	return float64(buf.Len())
}

// BenchmarkCapacityEvidence reports the bytes and the processor time of one
// evidence message by number of routes, with two versions each.
func BenchmarkCapacityEvidence(b *testing.B) {
	for _, routes := range []int{4, 16} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			e := sampleEvidence(routes)
			var a EvidenceArgs
			for b.Loop() {
				a = FromEvidence(summary.Key{Pool: "chat", Region: "akl"}, "engine-17", false, "chat-v2-20260101-000000", e)
				if _, _, err := a.Model(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(gobBytes(b, a), "B/message")
		})
	}
}

// BenchmarkCapacityTimes reports the bytes and the processor time of one message
// of stage times by number of routes.
func BenchmarkCapacityTimes(b *testing.B) {
	for _, routes := range []int{4, 16} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			sums := sampleTimes(routes)
			var a TimesArgs
			for b.Loop() {
				a = FromTimes("engine-17", "chat", sums)
				if _, err := a.Model(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(gobBytes(b, a), "B/message")
		})
	}
}
