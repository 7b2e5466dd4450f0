package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
)

// LogService is a fake of the platform's log service. It implements
// logsvc.Log.
type LogService struct {
	loop *control.Loop[logState, struct{}]
}

type logState struct {
	streams map[string]*logStream
	waiting []logRead
}

type logStream struct {
	first   int64
	records []logsvc.Record
}

func (s *logStream) next() int64 { return s.first + int64(len(s.records)) }

type (
	logAppend struct {
		control.Question[logAppended]
		stream string
		data   []byte
	}
	logAppended struct {
		offset int64
		err    error
	}
	logRead struct {
		control.Defer[logBatch]
		stream string
		from   int64
		until  time.Time
	}
	logBatch struct {
		batch logsvc.Batch
		err   error
	}
)

func (logAppend) EventName() string { return "log_append" }
func (logRead) EventName() string   { return "log_read" }

// logTick bounds how late a read without records returns.
const logTick = 100 * time.Millisecond

// NewLogService returns an empty log service. Run must run for it to answer.
func NewLogService() *LogService {
	return &LogService{loop: control.New(control.Config[logState, struct{}]{
		State:   &logState{streams: map[string]*logStream{}},
		Stages:  []control.Stage[logState]{logAppends{}, logReads{}},
		Publish: func(*logState, time.Time) *struct{} { return &struct{}{} },
		Tick:    logTick,
	})}
}

// Run serves appends and reads until ctx ends.
func (l *LogService) Run(ctx context.Context) { l.loop.Run(ctx) }

// Append implements logsvc.Log.
func (l *LogService) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	r, err := control.Ask(ctx, l.loop, logAppend{Question: control.NewQuestion[logAppended](), stream: stream, data: data})
	if err != nil {
		return 0, err
	}
	return r.offset, r.err
}

// Read implements logsvc.Log.
func (l *LogService) Read(ctx context.Context, stream string, from int64, wait time.Duration) (logsvc.Batch, error) {
	r, err := control.Ask(ctx, l.loop, logRead{Defer: control.NewDeferred[logBatch](), stream: stream, from: from, until: time.Now().Add(wait)})
	if err != nil {
		return logsvc.Batch{}, err
	}
	return r.batch, r.err
}

// logAppends adds records.
type logAppends struct{}

func (logAppends) Name() string { return "log_appends" }

func (logAppends) Apply(s *logState, now time.Time, ev control.Event) bool {
	a, ok := ev.(logAppend)
	if !ok {
		return false
	}
	st := s.stream(a.stream)
	offset := st.next()
	st.records = append(st.records, logsvc.Record{Offset: offset, AppendedMS: now.UnixMilli(), Data: a.data})
	a.Reply(logAppended{offset: offset})
	return false
}

// logReads answers reads that have records or have waited long enough.
type logReads struct{}

func (logReads) Name() string { return "log_reads" }

func (logReads) Apply(s *logState, now time.Time, ev control.Event) bool {
	if r, ok := ev.(logRead); ok {
		s.waiting = append(s.waiting, r)
	}
	kept := s.waiting[:0]
	for _, r := range s.waiting {
		b := s.stream(r.stream).read(r.from)
		if len(b.Records) > 0 || !now.Before(r.until) {
			r.Reply(logBatch{batch: b})
			continue
		}
		kept = append(kept, r)
	}
	s.waiting = kept
	return false
}

func (s *logState) stream(name string) *logStream {
	st := s.streams[name]
	if st == nil {
		st = &logStream{}
		s.streams[name] = st
	}
	return st
}

// maxBatchRecords bounds one answer to a read.
const maxBatchRecords = 1000

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

// Handler serves the log service's HTTP interface.
func (l *LogService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, logsvc.MaxRecordBytes))
		if err != nil {
			http.Error(w, "record is too large", http.StatusRequestEntityTooLarge)
			return
		}
		offset, err := l.Append(r.Context(), r.PathValue("name"), data)
		respond(w, logsvc.Appended{Offset: offset}, err)
	})
	mux.HandleFunc("GET /streams/{name}", func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
		wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
		batch, err := l.Read(r.Context(), r.PathValue("name"), from, time.Duration(wait)*time.Millisecond)
		respond(w, batch, err)
	})
	return mux
}

// respond writes v as JSON, or err with status 503.
func respond(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
