package measure

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/endpointapi"
	"github.com/goldcrestturn/goldcrestturn/internal/entry"
	"github.com/goldcrestturn/goldcrestturn/internal/exchange"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/side"
	"github.com/goldcrestturn/goldcrestturn/internal/standin"
)

// exUser is the size of the fleet of one of the first users.
type exUser struct {
	name                                string
	centres, engines, services, entries int
	oneWay                              time.Duration // delay of a message
}

var exUsers = []exUser{
	{"kauri", 3, 10, 3, 3, 500 * time.Microsecond},
	{"kalesa", 4, 20, 4, 4, 1500 * time.Microsecond},
}

const (
	exWorkspaces = 10
	exRegion     = "home"
	// exBudgetBytes is the control budget of the first users in bytes a second, from
	// docs/design.md, D2.
	exBudgetBytes = 4_000
)

// exFleet is a fleet of real entries and sides over in-memory connections, with
// virtual time.
type exFleet struct {
	user      exUser
	rng       *rand.Rand
	ctx       context.Context
	stop      context.CancelFunc
	group     *errgroup.Group
	pipes     *exchange.PipeNet
	logs      *standin.LogService
	list      *standin.InstanceList
	logDown   atomic.Bool
	listLag   atomic.Pointer[func(id string) time.Duration] // with which a process reads the instance list
	partition atomic.Pointer[func(from, to string) bool]    // of the control exchange
	entries   []*exEntry
	sides     []*exSide
}

type exEntry struct {
	id        string
	stop      context.CancelFunc
	entry     *entry.Entry
	handler   http.Handler
	transport *http.Transport
}

type exSide struct {
	id       string
	side     *side.Side
	endpoint *exEndpoint
}

// exLog is the log service, which fails while logDown is set.
type exLog struct{ f *exFleet }

var errLogDown = eris.New("measure: log service is down")

func (l exLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if l.f.logDown.Load() {
		return 0, errLogDown
	}
	return l.f.logs.Append(ctx, stream, data)
}

func (l exLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (logsvc.Batch, error) {
	if l.f.logDown.Load() {
		return logsvc.Batch{}, errLogDown
	}
	return l.f.logs.Read(ctx, stream, from, wait)
}

// exList is the instance list as read by one process.
type exList struct {
	f  *exFleet
	id string
}

func (l exList) Since(ctx context.Context, seq int64, wait time.Duration) (instances.Changes, error) {
	ch, err := l.f.list.Since(ctx, seq, wait)
	if lag := l.f.listLag.Load(); err == nil && seq > 0 && lag != nil {
		exPause(ctx, (*lag)(l.id))
	}
	return ch, err
}

func exPause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// newExFleet starts a fleet and waits until it has settled. The caller provides
// the bubble.
func newExFleet(env Env, u exUser) *exFleet {
	ctx, stop := context.WithCancel(context.Background())
	f := &exFleet{
		user: u, rng: rand.New(rand.NewPCG(env.Seed, 1)), ctx: ctx, stop: stop, group: &errgroup.Group{},
		logs: standin.NewLogService(), list: standin.NewInstanceList(),
	}
	f.group.Go(func() error { f.logs.Run(ctx); return nil })
	f.group.Go(func() error { f.list.Run(ctx); return nil })
	f.pipes = exchange.NewPipeNet(f.addresses()...)
	// The delays of two links differ by some microseconds, so that no two messages
	// arrive at the same virtual time and every run has the same order of events.
	f.pipes.Delay = func(from, to string) time.Duration {
		h := fnv.New32()
		_, _ = h.Write([]byte(from + ">" + to))
		return u.oneWay + time.Duration(h.Sum32()%100_000)*time.Nanosecond
	}
	f.pipes.Partitioned = func(from, to string) bool {
		partitioned := f.partition.Load()
		return partitioned != nil && (*partitioned)(from, to)
	}
	f.appendFirstConfig()
	for i := range u.engines {
		f.addSide(fmt.Sprintf("engine-%d", i), "chat", model.Engine, i)
	}
	for i := range u.services {
		f.addSide(fmt.Sprintf("service-%d", i), "stock", model.Service, i)
	}
	for i := range u.entries {
		f.addEntry(fmt.Sprintf("entry-%d", i), i)
	}
	f.wait(10 * time.Second)
	return f
}

func (f *exFleet) addresses() []string {
	var out []string
	add := func(kind string, n int) {
		for i := range n {
			id := fmt.Sprintf("%s-%d", kind, i)
			out = append(out, id+".c:1", id+".t:1")
		}
	}
	add("engine", f.user.engines)
	add("service", f.user.services)
	add("entry", 2*f.user.entries) // replacements included
	return out
}

// setListLag sets the lag with which each process reads the instance list.
func (f *exFleet) setListLag(lag func(id string) time.Duration) { f.listLag.Store(&lag) }

// setPartition sets which control connections are partitioned.
func (f *exFleet) setPartition(p func(from, to string) bool) { f.partition.Store(&p) }

// close stops all processes and waits for them.
func (f *exFleet) close() {
	f.stop()
	_ = f.group.Wait()
	// Virtual time stops when the function of the bubble returns, so messages in
	// flight and idle connections end before that.
	exPause(context.Background(), 10*time.Second)
	for _, e := range f.entries {
		e.transport.CloseIdleConnections()
	}
	exPause(context.Background(), 10*time.Second)
}

func (f *exFleet) wait(d time.Duration) { exPause(f.ctx, d) }

// stagger waits for a random time, so that processes start at different times as
// they do in production.
func (f *exFleet) stagger() { f.wait(time.Duration(f.rng.IntN(90_000)+10_000) * time.Microsecond) }

func exKey(ws int) string { return fmt.Sprintf("key-%d", ws) }

func (f *exFleet) appendFirstConfig() {
	l := lists.New()
	l.Plans["plan"] = lists.Plan{Priority: 1, Rate: 20_000, Burst: 40_000}
	for i := range exWorkspaces {
		sum := sha256.Sum256([]byte(exKey(i)))
		l.Workspaces[model.Workspace(fmt.Sprintf("ws-%d", i))] = lists.Workspace{Plan: "plan", KeyHash: hex.EncodeToString(sum[:])}
	}
	l.Pools["chat"] = lists.Pool{Kind: model.Engine, Plans: []model.Plan{"plan"}, LoadMultiple: 2, Slots: 32, ColdLimit: 1 << 20, WarmTime: time.Second}
	l.Pools["stock"] = lists.Pool{Kind: model.Service, Plans: []model.Plan{"plan"}, LoadMultiple: 2, Slots: 32, ColdLimit: 1 << 20, WarmTime: time.Second}
	l.Routes["chat"] = lists.Route{Pool: "chat", Idempotent: true}
	l.Routes["stock/check"] = lists.Route{Pool: "stock", Idempotent: true}
	for i := range f.user.centres {
		l.DataCentres[model.DataCentre(fmt.Sprintf("dc-%d", i))] = lists.DataCentre{Region: exRegion, State: lists.DataCentreIn}
	}
	data, err := config.Record{ID: "first", Base: config.NoBase, Snapshot: l}.Encode()
	if err == nil {
		_, err = f.logs.Append(f.ctx, config.Stream, data)
	}
	if err != nil {
		panic(err)
	}
}

// jitter returns a source of random numbers that is safe for concurrent use.
func (f *exFleet) jitter(ctx context.Context) func() float64 {
	rng := rand.New(rand.NewPCG(f.rng.Uint64(), 2))
	numbers := make(chan float64)
	f.group.Go(func() error {
		for {
			select {
			case numbers <- rng.Float64():
			case <-ctx.Done():
				return nil
			}
		}
	})
	return func() float64 {
		select {
		case n := <-numbers:
			return n
		case <-ctx.Done():
			return 0
		}
	}
}

func (f *exFleet) put(in instances.Instance) {
	in.Control, in.Address = string(in.ID)+".c:1", string(in.ID)+".t:1"
	if err := f.list.Put(f.ctx, in); err != nil && f.ctx.Err() == nil {
		panic(err)
	}
}

func (f *exFleet) dc(i int) model.DataCentre {
	return model.DataCentre(fmt.Sprintf("dc-%d", i%f.user.centres))
}

func (f *exFleet) addSide(id string, pool model.Pool, kind model.EndpointKind, i int) {
	f.stagger()
	s := side.Settings{
		Instance: model.InstanceID(id), DataCentre: f.dc(i), Region: exRegion, Pool: pool, Kind: kind,
		Control: id + ".c:1", Key: "shared", ControlBudget: exBudgetBytes, AppendBudget: 300,
	}
	e := &exEndpoint{id: s.EndpointID(), runTime: 400 * time.Millisecond}
	p := side.New(s, side.Deps{Log: slog.New(slog.DiscardHandler), Logs: exLog{f}, List: exList{f, id}, Endpoint: e, Dial: f.pipes.Dialer(id + ".c:1"), Jitter: f.jitter(f.ctx)})
	p.Start(f.ctx, f.group)
	f.group.Go(func() error { return p.ServeControl(f.ctx, f.pipes.Listen(id+".c:1")) })
	server := &http.Server{Handler: p.Handler()}
	traffic := f.pipes.Listen(id + ".t:1")
	context.AfterFunc(f.ctx, func() { server.Close() })
	f.group.Go(func() error { _ = server.Serve(traffic); return nil })
	f.sides = append(f.sides, &exSide{id: id, side: p, endpoint: e})
	f.put(instances.Instance{ID: s.Instance, Role: instances.RoleEndpoint, Kind: kind, Pool: pool, DataCentre: s.DataCentre, Status: instances.Live})
}

func (f *exFleet) addEntry(id string, i int) *exEntry {
	f.stagger()
	ctx, stop := context.WithCancel(f.ctx)
	s := entry.Settings{
		Instance: model.InstanceID(id), DataCentre: f.dc(i), Region: exRegion, Control: id + ".c:1", Key: "shared",
		ControlBudget: exBudgetBytes, MaxBody: 1 << 20, Timeout: time.Minute,
	}
	dial := f.pipes.Dialer(id + ".t:1")
	transport := &http.Transport{
		DialContext:         func(ctx context.Context, _, to string) (net.Conn, error) { return dial(ctx, to) },
		MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute,
	}
	context.AfterFunc(ctx, transport.CloseIdleConnections)
	jitter := f.jitter(ctx)
	e := entry.New(s, entry.Deps{
		Log: slog.New(slog.DiscardHandler), Logs: exLog{f}, List: exList{f, id}, Transport: transport, Dial: f.pipes.Dialer(id + ".c:1"),
		Jitter: jitter,
	})
	e.Start(ctx, f.group)
	f.group.Go(func() error { return e.ServeControl(ctx, f.pipes.Listen(id+".c:1")) })
	x := &exEntry{id: id, stop: stop, entry: e, handler: e.Handler(), transport: transport}
	f.entries = append(f.entries, x)
	f.put(instances.Instance{ID: s.Instance, Role: instances.RoleEntry, DataCentre: s.DataCentre, Status: instances.Live})
	return x
}

// exEndpoint is a fake endpoint. It answers after runTime, or crashes on a
// poisoned request and is then down for downTime.
type exEndpoint struct {
	id         model.EndpointID
	runTime    time.Duration
	poison     func(body []byte) bool
	crashDelay time.Duration     // from the attempt to the crash
	downTime   time.Duration     // from the crash to the restart
	onInnocent func(body []byte) // called for each innocent request in flight at a crash; may be nil
	crashes    atomic.Int64
	current    atomic.Pointer[exProcess]
	failRun    func() bool // decides whether a run fails; may be nil
	runs       atomic.Int64
	onRun      func(model.Version) bool // called after each run with its version; decides whether it fails; may be nil
}

// exProcess is an endpoint process between a start and a crash.
type exProcess struct {
	ended     chan struct{}
	restartAt atomic.Int64 // restart time after a crash, Unix time in ns
	crashed   atomic.Bool
}

// process returns the current process. It starts one if there is none, or if the
// last one crashed and its down time is over.
func (e *exEndpoint) process() *exProcess {
	for {
		p := e.current.Load()
		if p != nil && (!p.crashed.Load() || p.restartAt.Load() == 0 || time.Now().UnixNano() < p.restartAt.Load()) {
			return p
		}
		if next := (&exProcess{ended: make(chan struct{})}); e.current.CompareAndSwap(p, next) {
			return next
		}
	}
}

func (e *exEndpoint) crash(p *exProcess) {
	if p.crashed.CompareAndSwap(false, true) {
		p.restartAt.Store(time.Now().Add(e.downTime).UnixNano())
		e.crashes.Add(1)
		close(p.ended)
	}
}

// Run implements side.Endpoint.
func (e *exEndpoint) Run(ctx context.Context, req *model.Request) (*model.Answer, error) {
	p := e.process()
	if p.crashed.Load() {
		return nil, model.Refuse(model.ReasonEndpointFailed, "the endpoint cannot be reached")
	}
	e.runs.Add(1)
	crashed := &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonCrashed, Detail: "connection reset"}
	duration, poisoned := e.runTime, e.poison != nil && e.poison(req.Body)
	if poisoned {
		duration = e.crashDelay
	}
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.ended:
		if e.onInnocent != nil && !poisoned {
			e.onInnocent(req.Body)
		}
		return nil, crashed
	case <-ctx.Done():
		return nil, &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonCancelled}
	}
	if poisoned {
		e.crash(p)
		return nil, crashed
	}
	if e.failRun != nil && e.failRun() || e.onRun != nil && e.onRun(req.Version) {
		return nil, &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonEndpointFailed, Detail: "status 500"}
	}
	return &model.Answer{
		Request: req.ID, Status: http.StatusOK, Endpoint: e.id, Stages: req.Stages,
		Frames: endpointapi.BodyFrames(req.ID, []byte(`{"answer":"ok"}`)),
	}, nil
}

// exResponse is an http.ResponseWriter that records the response.
type exResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *exResponse) Header() http.Header { return r.header }
func (r *exResponse) WriteHeader(s int)   { r.status = s }
func (r *exResponse) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.status = http.StatusOK
	}
	return r.body.Write(p)
}

// send sends one request of a workspace through an entry and returns its
// status and the reason of a refusal.
func (e *exEntry) send(ctx context.Context, ws int, path, id, chat, body string) (int, model.Reason) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://entry"+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+exKey(ws))
	r.Header.Set("Request-Id", id)
	r.Header.Set("Chat-Id", chat)
	w := &exResponse{header: http.Header{}}
	e.handler.ServeHTTP(w, r)
	if w.status == http.StatusOK {
		return w.status, ""
	}
	_, reason, _ := strings.Cut(w.body.String(), `urn:goldcrestturn:`)
	reason, _, _ = strings.Cut(reason, `"`)
	return w.status, model.Reason(reason)
}

const exChatBody = `{"messages":[{"role":"user","content":%q}],"max_tokens":64}`
