package standin

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
)

// LogService is a stand-in for the platform's log service. It implements
// logsvc.Log.
type LogService struct {
	loop *control.Loop[logState, logSnapshot]
}

// LogConfig limits what the log service accepts and retains. The zero value sets
// no limits.
type LogConfig struct {
	RetainAge   time.Duration // records older than this are trimmed; 0 retains them
	RetainCount int           // records retained in each stream; 0 retains all
	AppendRate  float64       // appends per second for all streams together; 0 means no limit
	Seed        uint64        // seeds the choice of answers that LoseShare loses
}

// LogServiceFaults are the faults that can be injected into the log service.
type LogServiceFaults struct {
	Down        bool    `json:"down"`         // every call fails without effect
	SlowMS      int64   `json:"slow_ms"`      // delay of every call, in milliseconds
	LoseAnswers int     `json:"lose_answers"` // number of next appends that take effect and report a failure
	LoseShare   float64 `json:"lose_share"`   // share of appends that take effect and report a failure, 0 to 1
}

// Errors of the stand-ins for the platform. Their texts are part of the HTTP
// answers.
var (
	ErrDown        = eris.New("standin: service is down")
	ErrRateLimited = eris.New("standin: too many calls a second")
	ErrAnswerLost  = eris.New("standin: answer was lost after the call took effect")
)

type logState struct {
	cfg          LogConfig
	faults       LogServiceFaults
	random       *rand.Rand
	limiter      *rate.Limiter
	streams      map[string]*logStream
	pendingReads []logRead
}

type logSnapshot struct{ faults LogServiceFaults }

type logStream struct {
	first   int64 // offset of the first retained record
	records []logsvc.Record
}

// next returns the offset of the next record.
func (s *logStream) next() int64 { return s.first + int64(len(s.records)) }

type (
	logAppend struct {
		control.Question[logAppendResult]
		stream string
		data   []byte
	}
	logAppendResult struct {
		offset int64
		err    error
	}
	logRead struct {
		control.Deferred[logReadResult]
		stream string
		from   int64
		until  time.Time
	}
	logReadResult struct {
		batch logsvc.Batch
		err   error
	}
	setLogFaults struct {
		control.Question[bool]
		faults LogServiceFaults
	}
)

func (logAppend) EventName() string    { return "log_append" }
func (logRead) EventName() string      { return "log_read" }
func (setLogFaults) EventName() string { return "log_faults_set" }

// logTick limits how late a read without records or changes returns.
const logTick = 100 * time.Millisecond

// NewLogService returns an empty log service without limits. It answers only
// while Run is running.
func NewLogService() *LogService { return NewLogServiceWith(LogConfig{}) }

// NewLogServiceWith returns an empty log service with the limits in cfg.
func NewLogServiceWith(cfg LogConfig) *LogService {
	limit := rate.Inf
	if cfg.AppendRate > 0 {
		limit = rate.Limit(cfg.AppendRate)
	}
	return &LogService{loop: control.New(control.Config[logState, logSnapshot]{
		State: &logState{
			cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 0)),
			limiter: rate.NewLimiter(limit, max(1, int(cfg.AppendRate))), streams: map[string]*logStream{},
		},
		Stages:  []control.Stage[logState]{logFaultStage{}, logAppends{}, logRetention{}, logReads{}},
		Publish: func(s *logState, _ time.Time) *logSnapshot { return &logSnapshot{s.faults} },
		Tick:    logTick,
	})}
}

// Run serves appends and reads until ctx ends.
func (l *LogService) Run(ctx context.Context) { l.loop.Run(ctx) }

// Faults returns the active faults.
func (l *LogService) Faults() LogServiceFaults { return l.loop.Snapshot().faults }

// SetFaults replaces the active faults.
func (l *LogService) SetFaults(ctx context.Context, f LogServiceFaults) error {
	_, err := control.Ask(ctx, l.loop, setLogFaults{Question: control.NewQuestion[bool](), faults: f})
	return err
}

// Append implements logsvc.Log.
func (l *LogService) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if err := sleepMS(ctx, l.Faults().SlowMS); err != nil {
		return 0, err
	}
	r, err := control.Ask(ctx, l.loop, logAppend{Question: control.NewQuestion[logAppendResult](), stream: stream, data: data})
	if err != nil {
		return 0, err
	}
	return r.offset, r.err
}

// Read implements logsvc.Log.
func (l *LogService) Read(ctx context.Context, stream string, from int64, wait time.Duration) (logsvc.Batch, error) {
	if err := sleepMS(ctx, l.Faults().SlowMS); err != nil {
		return logsvc.Batch{}, err
	}
	r, err := control.Ask(ctx, l.loop, logRead{Deferred: control.NewDeferred[logReadResult](), stream: stream, from: from, until: time.Now().Add(wait)})
	if err != nil {
		return logsvc.Batch{}, err
	}
	return r.batch, r.err
}

// logFaultStage is the stage that sets the active faults.
type logFaultStage struct{}

func (logFaultStage) Name() string { return "log_faults" }

func (logFaultStage) Apply(s *logState, _ time.Time, ev control.Event) bool {
	f, ok := ev.(setLogFaults)
	if ok {
		s.faults = f.faults
	}
	return ok
}

// logAppends is the stage that appends records.
type logAppends struct{}

func (logAppends) Name() string { return "log_appends" }

func (logAppends) Apply(s *logState, now time.Time, ev control.Event) bool {
	a, ok := ev.(logAppend)
	if !ok {
		return false
	}
	switch {
	case s.faults.Down:
		a.Reply(logAppendResult{err: ErrDown})
		return false
	case !s.limiter.AllowN(now, 1):
		a.Reply(logAppendResult{err: ErrRateLimited})
		return false
	}
	st := s.stream(a.stream)
	offset := st.next()
	st.records = append(st.records, logsvc.Record{Offset: offset, AppendedMS: now.UnixMilli(), Data: a.data})
	if s.shouldLoseAnswer() {
		a.Reply(logAppendResult{err: ErrAnswerLost})
		return true
	}
	a.Reply(logAppendResult{offset: offset})
	return false
}

// shouldLoseAnswer decides whether the answer of an append is lost, and counts
// down LoseAnswers.
func (s *logState) shouldLoseAnswer() bool {
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return true
	}
	return s.faults.LoseShare > 0 && s.random.Float64() < s.faults.LoseShare
}

// logRetention is the stage that trims records beyond RetainAge or RetainCount.
type logRetention struct{}

func (logRetention) Name() string { return "log_retention" }

func (logRetention) Apply(s *logState, now time.Time, ev control.Event) bool {
	if _, read := ev.(logRead); read {
		return false
	}
	for _, st := range s.streams {
		drop := 0
		if s.cfg.RetainCount > 0 {
			drop = max(0, len(st.records)-s.cfg.RetainCount)
		}
		for s.cfg.RetainAge > 0 && drop < len(st.records) && now.UnixMilli()-st.records[drop].AppendedMS > s.cfg.RetainAge.Milliseconds() {
			drop++
		}
		st.records = st.records[drop:]
		st.first += int64(drop)
	}
	return false
}

// logReads is the stage that answers reads when there are records or their wait
// is over.
type logReads struct{}

func (logReads) Name() string { return "log_reads" }

func (logReads) Apply(s *logState, now time.Time, ev control.Event) bool {
	if r, ok := ev.(logRead); ok {
		s.pendingReads = append(s.pendingReads, r)
	}
	kept := s.pendingReads[:0]
	for _, r := range s.pendingReads {
		b := s.stream(r.stream).read(r.from)
		switch {
		case s.faults.Down:
			r.Reply(logReadResult{err: ErrDown})
		case len(b.Records) > 0 || !now.Before(r.until):
			r.Reply(logReadResult{batch: b})
		default:
			kept = append(kept, r)
		}
	}
	clear(s.pendingReads[len(kept):])
	s.pendingReads = kept
	return false
}

// stream returns the stream with the given name and creates it if necessary.
func (s *logState) stream(name string) *logStream {
	st := s.streams[name]
	if st == nil {
		st = &logStream{}
		s.streams[name] = st
	}
	return st
}

// maxBatchRecords limits the number of records in the answer to one read.
const maxBatchRecords = 1000

// read returns the records at and after offset from that are retained, up to
// maxBatchRecords.
func (s *logStream) read(from int64) logsvc.Batch {
	from = max(from, s.first)
	b := logsvc.Batch{First: s.first, Next: max(from, s.next())}
	if from < s.next() {
		records := s.records[from-s.first:]
		records = records[:min(len(records), maxBatchRecords)]
		b.Records = append(b.Records, records...)
		b.Next = from + int64(len(records))
	}
	return b
}

// Handler returns a handler of the log service's HTTP interface.
func (l *LogService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, logsvc.MaxRecordBytes))
		if err != nil {
			http.Error(w, "record is too large", http.StatusRequestEntityTooLarge)
			return
		}
		offset, err := l.Append(r.Context(), r.PathValue("name"), data)
		if errors.Is(err, ErrAnswerLost) {
			panic(http.ErrAbortHandler)
		}
		writeResponse(w, logsvc.Appended{Offset: offset}, err)
	})
	mux.HandleFunc("GET /streams/{name}", func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
		wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
		batch, err := l.Read(r.Context(), r.PathValue("name"), from, time.Duration(wait)*time.Millisecond)
		writeResponse(w, batch, err)
	})
	serveFaults(mux, l.Faults, l.SetFaults)
	return mux
}
