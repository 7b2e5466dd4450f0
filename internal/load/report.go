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

// Times summarises a latency histogram, in microseconds.
type Times struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_us"`
	P50   int64   `json:"p50_us"`
	P95   int64   `json:"p95_us"`
	P99   int64   `json:"p99_us"`
	Max   int64   `json:"max_us"`
}

// Report holds the results of a run.
type Report struct {
	Seconds       float64          `json:"seconds"`
	Calls         int64            `json:"calls"`
	Verdicts      map[string]int64 `json:"verdicts"`
	Refusals      map[string]int64 `json:"refusals"` // all refusals received, by "reason outcome"
	Attempts      int64            `json:"attempts"`
	Resumed       int64            `json:"resumed"` // attempts that resumed a truncated answer
	Returns       int64            `json:"returns"` // complete calls of chats with tokens in a cache
	Tokens        int64            `json:"tokens"`
	Reuse         float64          `json:"cache_reuse"` // share of the cacheable tokens that came from a cache
	ServiceCalls  int64            `json:"service_calls"`
	Repeats       int64            `json:"repeats"`        // complete answers to calls that reuse a key
	Duplicates    int64            `json:"duplicates"`     // keys that ran more than once
	FirstToken    Times            `json:"first_token"`    // from the start of the attempt that received it
	BetweenTokens Times            `json:"between_tokens"` // between consecutive tokens of an answer
	Total         Times            `json:"total"`          // complete calls, including the backoff between attempts
	Examples      []string         `json:"examples,omitempty"`
	Failed        []string         `json:"failed_checks"`
}

// maxExamples bounds the number of failed calls described in a report.
const maxExamples = 10

// Range and precision of the histograms.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// reporter owns the counts of a run.
type reporter struct {
	settings                         Settings
	log                              io.Writer
	start                            time.Time
	report                           Report
	cacheable, fromCache             int64
	firstToken, betweenTokens, total *hdrhistogram.Histogram
	runByKey                         map[string]int64 // run number in the last answer
	duplicated                       map[string]bool  // keys that ran more than once
	lastComplete, lastTokens         int64
}

func newReporter(s Settings, log io.Writer, start time.Time) *reporter {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(minMicros, maxMicros, significantDigits) }
	return &reporter{
		settings: s, log: log, start: start, firstToken: h(), betweenTokens: h(), total: h(),
		runByKey: map[string]int64{}, duplicated: map[string]bool{},
		report: Report{Verdicts: map[string]int64{}, Refusals: map[string]int64{}, Failed: []string{}},
	}
}

// run counts results until the channel is closed, and prints progress lines.
func (r *reporter) run(results <-chan result) {
	var ticks <-chan time.Time
	if r.settings.Progress > 0 {
		t := time.NewTicker(r.settings.Progress)
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
	n, tokens := r.report.Verdicts[string(verdictComplete)], r.report.Tokens
	fmt.Fprintf(r.log, "load: %3.0f s, %d calls, %d whole (+%d), %d tokens (+%d), %d refusals, first token p95 %s\n",
		time.Since(r.start).Seconds(), r.report.Calls, n, n-r.lastComplete, tokens, tokens-r.lastTokens,
		sum(r.report.Refusals), time.Duration(r.firstToken.ValueAtQuantile(95))*time.Microsecond)
	r.lastComplete, r.lastTokens = n, tokens
}

func (r *reporter) add(res result) {
	rep := &r.report
	rep.Calls++
	rep.Verdicts[string(res.verdict)]++
	rep.Attempts += int64(res.attempts)
	rep.Resumed += int64(res.resumed)
	for _, f := range res.refusals {
		rep.Refusals[f.Reason+" "+f.Outcome]++
	}
	if res.detail != "" && len(rep.Examples) < maxExamples {
		rep.Examples = append(rep.Examples, fmt.Sprintf("%s %s: %s", res.verdict, res.call.ID, res.detail))
	}
	for _, g := range res.tokenGaps {
		_ = r.betweenTokens.RecordValue(g.Microseconds())
	}
	if res.call.Route != "" {
		r.addService(res)
	}
	if res.verdict != verdictComplete {
		return
	}
	_ = r.total.RecordValue(res.total.Microseconds())
	if res.call.Route != "" {
		return
	}
	rep.Tokens += int64(res.call.Tokens)
	_ = r.firstToken.RecordValue(res.firstToken.Microseconds())
	if res.call.Cacheable > 0 {
		rep.Returns++
		r.cacheable += res.call.Cacheable
		r.fromCache += min(res.cachedTokens, res.call.Cacheable)
	}
}

// addService counts the result of a service call. Answers to the same key that
// report different runs mean that the key ran more than once.
func (r *reporter) addService(res result) {
	r.report.ServiceCalls++
	if res.verdict != verdictComplete {
		return
	}
	if res.call.ReusesKey {
		r.report.Repeats++
	}
	if run, seen := r.runByKey[res.call.Key]; seen && run != res.run {
		r.duplicated[res.call.Key] = true
	}
	r.runByKey[res.call.Key] = res.run
}

// finish completes the report and evaluates the checks.
func (r *reporter) finish(ctx context.Context) Report {
	rep := &r.report
	rep.Seconds = time.Since(r.start).Seconds()
	rep.FirstToken, rep.BetweenTokens, rep.Total = summarise(r.firstToken), summarise(r.betweenTokens), summarise(r.total)
	if r.cacheable > 0 {
		rep.Reuse = float64(r.fromCache) / float64(r.cacheable)
	}
	for _, address := range r.settings.Services.Stats {
		if err := r.countRuns(ctx, address); err != nil {
			rep.Failed = append(rep.Failed, fmt.Sprintf("runs of the service at %s cannot be counted: %v", address, err))
		}
	}
	rep.Duplicates = int64(len(r.duplicated))
	for _, key := range slices.Sorted(maps.Keys(r.duplicated)) {
		if len(rep.Examples) < maxExamples {
			rep.Examples = append(rep.Examples, "duplicate "+key)
		}
	}
	r.check()
	return *rep
}

// countRuns reads the runs by key from a service stand-in. This also finds
// duplicate runs whose answer never arrived.
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
		if n > 1 && strings.HasPrefix(key, idempotencyKeyPrefix(r.settings.Seed)) {
			r.duplicated[key] = true
		}
	}
	return nil
}

// check adds the checks that the run failed to the report.
func (r *reporter) check() {
	rep, checks := &r.report, r.settings.Checks
	failIf := func(violated bool, format string, args ...any) {
		if violated {
			rep.Failed = append(rep.Failed, fmt.Sprintf(format, args...))
		}
	}
	incomplete := rep.Verdicts[string(verdictInterrupted)] + rep.Verdicts[string(verdictFailed)]
	share := float64(rep.Verdicts[string(verdictRefused)]) / float64(max(1, rep.Calls))
	failIf(rep.Verdicts[string(verdictWrong)] > 0, "%d answers were wrong or short", rep.Verdicts[string(verdictWrong)])
	failIf(rep.Duplicates > 0, "%d keys ran more than once", rep.Duplicates)
	failIf(incomplete > checks.MaxCut, "%d calls were cut or failed, more than %d", incomplete, checks.MaxCut)
	failIf(rep.Resumed > checks.MaxResumed, "%d attempts went on after a cut, more than %d", rep.Resumed, checks.MaxResumed)
	failIf(share > checks.MaxRefused, "a share of %.4f was refused, more than %.4f", share, checks.MaxRefused)
	failIf(rep.Verdicts[string(verdictComplete)] < checks.MinWhole, "%d whole answers, fewer than %d", rep.Verdicts[string(verdictComplete)], checks.MinWhole)
	failIf(rep.Reuse < checks.MinReuse, "cache reuse was %.4f, less than %.4f", rep.Reuse, checks.MinReuse)
	failIf(checks.FirstToken > 0 && rep.FirstToken.P95 > checks.FirstToken.Microseconds(), "first token p95 was %d us, more than %s", rep.FirstToken.P95, checks.FirstToken)
	failIf(checks.BetweenTokens > 0 && rep.BetweenTokens.P95 > checks.BetweenTokens.Microseconds(), "time between tokens p95 was %d us, more than %s", rep.BetweenTokens.P95, checks.BetweenTokens)
}

func summarise(h *hdrhistogram.Histogram) Times {
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
func (rep Report) Write(w io.Writer, format string) error {
	if format == FormatJSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(rep)
	}
	fmt.Fprintf(w, "calls           %d in %.1f s, %d attempts, %d resumed after a cut\n", rep.Calls, rep.Seconds, rep.Attempts, rep.Resumed)
	for _, v := range []verdict{verdictComplete, verdictRefused, verdictInterrupted, verdictWrong, verdictFailed} {
		fmt.Fprintf(w, "  %-13s %d\n", v, rep.Verdicts[string(v)])
	}
	fmt.Fprintf(w, "refusals        %d\n", sum(rep.Refusals))
	for _, k := range slices.Sorted(maps.Keys(rep.Refusals)) {
		fmt.Fprintf(w, "  %-30s %d\n", k, rep.Refusals[k])
	}
	fmt.Fprintf(w, "cache reuse     %.4f over %d returns\n", rep.Reuse, rep.Returns)
	fmt.Fprintf(w, "service calls   %d, %d repeats answered, %d keys ran more than once\n", rep.ServiceCalls, rep.Repeats, rep.Duplicates)
	for _, t := range []struct {
		name string
		t    Times
	}{{"first token", rep.FirstToken}, {"between tokens", rep.BetweenTokens}, {"whole call", rep.Total}} {
		fmt.Fprintf(w, "%-15s p50 %d us, p95 %d us, p99 %d us, max %d us, n %d\n", t.name, t.t.P50, t.t.P95, t.t.P99, t.t.Max, t.t.Count)
	}
	for _, e := range rep.Examples {
		fmt.Fprintf(w, "example         %s\n", e)
	}
	for _, f := range rep.Failed {
		fmt.Fprintf(w, "check failed    %s\n", f)
	}
	return nil
}
