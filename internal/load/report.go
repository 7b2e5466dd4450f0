package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/goldcrestturn/goldcrestturn/internal/standin"
)

// Times of the report in microseconds.
type Times struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_us"`
	P50   int64   `json:"p50_us"`
	P95   int64   `json:"p95_us"`
	P99   int64   `json:"p99_us"`
	Max   int64   `json:"max_us"`
}

// Report is the outcome of a run.
type Report struct {
	Seconds       float64          `json:"seconds"`
	Calls         int64            `json:"calls"`
	Verdicts      map[string]int64 `json:"verdicts"`
	Refusals      map[string]int64 `json:"refusals"` // every refusal seen, by "reason outcome"
	Attempts      int64            `json:"attempts"`
	Resumed       int64            `json:"resumed"` // attempts that went on after a cut
	Returns       int64            `json:"returns"` // calls of returning chats
	Tokens        int64            `json:"tokens"`
	Reuse         float64          `json:"cache_reuse"` // cached share of the tokens that a cache could hold
	ServiceCalls  int64            `json:"service_calls"`
	Repeats       int64            `json:"repeats"`        // whole answers to repeated keys
	Duplicates    int64            `json:"duplicates"`     // keys that ran more than once
	FirstToken    Times            `json:"first_token"`    // from the last attempt's start
	BetweenTokens Times            `json:"between_tokens"` // between two tokens of an answer
	Total         Times            `json:"total"`          // whole calls, pauses between attempts included
	Examples      []string         `json:"examples,omitempty"`
	Failed        []string         `json:"failed_checks"`
}

// maxExamples bounds the details of bad answers in a report.
const maxExamples = 10

// Range of the histograms in microseconds.
const (
	lowestTime  = 1
	highestTime = int64(time.Hour / time.Microsecond)
	digits      = 3
)

// reporter owns the counts of a run.
type reporter struct {
	s                     Settings
	log                   io.Writer
	start                 time.Time
	out                   Report
	ideal, cached         int64
	first, between, total *hdrhistogram.Histogram
	runs                  map[string]int64 // run by key
	duplicated            map[string]bool
	lastWhole, lastTokens int64
}

func newReporter(s Settings, log io.Writer, start time.Time) *reporter {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowestTime, highestTime, digits) }
	return &reporter{
		s: s, log: log, start: start, first: h(), between: h(), total: h(),
		runs: map[string]int64{}, duplicated: map[string]bool{},
		out: Report{Verdicts: map[string]int64{}, Refusals: map[string]int64{}, Failed: []string{}},
	}
}

// run counts results until results is closed and prints progress meanwhile.
func (r *reporter) run(results <-chan result) {
	var ticks <-chan time.Time
	if r.s.Progress > 0 {
		t := time.NewTicker(r.s.Progress)
		defer t.Stop()
		ticks = t.C
	}
	for {
		select {
		case res, ok := <-results:
			if !ok {
				return
			}
			r.add(res)
		case <-ticks:
			r.progress()
		}
	}
}

func (r *reporter) progress() {
	n, tokens := r.out.Verdicts[string(whole)], r.out.Tokens
	fmt.Fprintf(r.log, "load: %3.0f s, %d calls, %d whole (+%d), %d tokens (+%d), %d refusals, first token p95 %s\n",
		time.Since(r.start).Seconds(), r.out.Calls, n, n-r.lastWhole, tokens, tokens-r.lastTokens,
		sum(r.out.Refusals), time.Duration(r.first.ValueAtQuantile(95))*time.Microsecond)
	r.lastWhole, r.lastTokens = n, tokens
}

func (r *reporter) add(res result) {
	o := &r.out
	o.Calls++
	o.Verdicts[string(res.verdict)]++
	o.Attempts += int64(res.attempts)
	o.Resumed += int64(res.resumed)
	for _, f := range res.refusals {
		o.Refusals[f.Reason+" "+f.Outcome]++
	}
	if res.detail != "" && len(o.Examples) < maxExamples {
		o.Examples = append(o.Examples, fmt.Sprintf("%s %s: %s", res.verdict, res.call.ID, res.detail))
	}
	for _, g := range res.gaps {
		_ = r.between.RecordValue(g.Microseconds())
	}
	if res.call.Route != "" {
		r.addService(res)
	}
	if res.verdict != whole {
		return
	}
	_ = r.total.RecordValue(res.total.Microseconds())
	if res.call.Route != "" {
		return
	}
	o.Tokens += int64(res.call.Tokens)
	_ = r.first.RecordValue(res.first.Microseconds())
	if res.call.Ideal > 0 {
		o.Returns++
		r.ideal += res.call.Ideal
		r.cached += min(res.cached, res.call.Ideal)
	}
}

// addService compares the runs that a key's answers report.
func (r *reporter) addService(res result) {
	r.out.ServiceCalls++
	if res.verdict != whole {
		return
	}
	if res.call.Repeat {
		r.out.Repeats++
	}
	if run, seen := r.runs[res.call.Key]; seen && run != res.run {
		r.duplicated[res.call.Key] = true
	}
	r.runs[res.call.Key] = res.run
}

// finish completes the report and applies the checks.
func (r *reporter) finish(ctx context.Context) Report {
	o := &r.out
	o.Seconds = time.Since(r.start).Seconds()
	o.FirstToken, o.BetweenTokens, o.Total = times(r.first), times(r.between), times(r.total)
	if r.ideal > 0 {
		o.Reuse = float64(r.cached) / float64(r.ideal)
	}
	for _, address := range r.s.Services.Stats {
		if err := r.countRuns(ctx, address); err != nil {
			o.Failed = append(o.Failed, fmt.Sprintf("runs of the service at %s cannot be counted: %v", address, err))
		}
	}
	o.Duplicates = int64(len(r.duplicated))
	for _, key := range slices.Sorted(maps.Keys(r.duplicated)) {
		if len(o.Examples) < maxExamples {
			o.Examples = append(o.Examples, "duplicate "+key)
		}
	}
	r.check()
	return *o
}

// countRuns reads the runs by key from a service stand-in, so that a duplicate
// whose answer never arrived shows too.
func (r *reporter) countRuns(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/stats", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var st standin.ServiceStats
	if err := json.NewDecoder(resp.Body).Decode(&st); err != nil {
		return err
	}
	for key, n := range st.Keys {
		if n > 1 && strings.HasPrefix(key, keyPrefix(r.s.Seed)) {
			r.duplicated[key] = true
		}
	}
	return nil
}

func (r *reporter) check() {
	o, c := &r.out, r.s.Checks
	fail := func(bad bool, format string, args ...any) {
		if bad {
			o.Failed = append(o.Failed, fmt.Sprintf(format, args...))
		}
	}
	cuts := o.Verdicts[string(cut)] + o.Verdicts[string(failed)]
	share := float64(o.Verdicts[string(refused)]) / float64(max(1, o.Calls))
	fail(o.Verdicts[string(wrong)] > 0, "%d answers were wrong or short", o.Verdicts[string(wrong)])
	fail(o.Duplicates > 0, "%d keys ran more than once", o.Duplicates)
	fail(cuts > c.MaxCut, "%d calls were cut or failed, more than %d", cuts, c.MaxCut)
	fail(o.Resumed > c.MaxResumed, "%d attempts went on after a cut, more than %d", o.Resumed, c.MaxResumed)
	fail(share > c.MaxRefused, "a share of %.4f was refused, more than %.4f", share, c.MaxRefused)
	fail(o.Verdicts[string(whole)] < c.MinWhole, "%d whole answers, fewer than %d", o.Verdicts[string(whole)], c.MinWhole)
	fail(o.Reuse < c.MinReuse, "cache reuse was %.4f, less than %.4f", o.Reuse, c.MinReuse)
	fail(c.FirstToken > 0 && o.FirstToken.P95 > c.FirstToken.Microseconds(), "first token p95 was %d us, more than %s", o.FirstToken.P95, c.FirstToken)
	fail(c.BetweenToks > 0 && o.BetweenTokens.P95 > c.BetweenToks.Microseconds(), "time between tokens p95 was %d us, more than %s", o.BetweenTokens.P95, c.BetweenToks)
}

func times(h *hdrhistogram.Histogram) Times {
	return Times{
		Count: h.TotalCount(), Mean: h.Mean(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95),
		P99: h.ValueAtQuantile(99), Max: h.Max(),
	}
}

func sum(m map[string]int64) int64 {
	var n int64
	for _, v := range m {
		n += v
	}
	return n
}

// Write prints the report as text or JSON.
func (o Report) Write(w io.Writer, format string) error {
	if format == FormatJSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(o)
	}
	fmt.Fprintf(w, "calls           %d in %.1f s, %d attempts, %d resumed after a cut\n", o.Calls, o.Seconds, o.Attempts, o.Resumed)
	for _, v := range []verdict{whole, refused, cut, wrong, failed} {
		fmt.Fprintf(w, "  %-13s %d\n", v, o.Verdicts[string(v)])
	}
	fmt.Fprintf(w, "refusals        %d\n", sum(o.Refusals))
	for _, k := range slices.Sorted(maps.Keys(o.Refusals)) {
		fmt.Fprintf(w, "  %-30s %d\n", k, o.Refusals[k])
	}
	fmt.Fprintf(w, "cache reuse     %.4f over %d returns\n", o.Reuse, o.Returns)
	fmt.Fprintf(w, "service calls   %d, %d repeats answered, %d keys ran more than once\n", o.ServiceCalls, o.Repeats, o.Duplicates)
	for _, t := range []struct {
		name string
		t    Times
	}{{"first token", o.FirstToken}, {"between tokens", o.BetweenTokens}, {"whole call", o.Total}} {
		fmt.Fprintf(w, "%-15s p50 %d us, p95 %d us, p99 %d us, max %d us, n %d\n", t.name, t.t.P50, t.t.P95, t.t.P99, t.t.Max, t.t.Count)
	}
	for _, e := range o.Examples {
		fmt.Fprintf(w, "example         %s\n", e)
	}
	for _, f := range o.Failed {
		fmt.Fprintf(w, "check failed    %s\n", f)
	}
	return nil
}
