package claim

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// simulation is a random history of three owners with pauses, failed and delayed
// appends, entries that append voids, and a log with retention.
type simulation struct {
	harness
	owners  []*Owner
	paused  [3]*Job // per owner: a job that has not been appended yet
	calls   map[uint64]simulatedCall
	runs    map[Key]int
	voided  map[Key]bool // keys for which an entry read that its void won
	delayed [][]Item     // appends that take effect later
	token   uint64
	first   int64
}

type simulatedCall struct {
	owner int
	key   Key
}

// runJob runs one job of owner i, with a fault, and checks the decisions.
func (m *simulation) runJob(t *rapid.T, i int, job Job, fault int) {
	var res JobResult
	if len(job.Items) > 0 {
		switch fault {
		case 1: // the append takes effect after the owner found it missing
			m.delayed = append(m.delayed, job.Items)
			res = JobResult{Append: logsvc.AppendResult{State: logsvc.AppendNotFound}, ReadErr: errTest}
		case 2: // the append takes effect and the log cannot be read
			m.append(job.Items)
			res = JobResult{ReadErr: errTest}
		default:
			res.Append = logsvc.AppendResult{State: logsvc.AppendDone, Offset: m.append(job.Items)}
		}
	}
	if res.ReadErr == nil {
		m.feedFrom(m.owners[i], job.From)
	}
	for _, d := range m.owners[i].JobDone(m.now, job, res) {
		m.checkDecision(t, i, d)
	}
}

func (m *simulation) feedFrom(o *Owner, from int64) {
	from = min(max(from, m.first), int64(len(m.records)))
	o.Feed(Batch{First: m.first, Next: int64(len(m.records)), Records: m.records[from:]})
}

func (m *simulation) checkDecision(t *rapid.T, i int, d CallDecision) {
	call, ok := m.calls[d.Token]
	if !d.Run {
		delete(m.calls, d.Token)
		return
	}
	if !ok || call.owner != i {
		t.Fatalf("call %d was decided by owner %d, which has no such call", d.Token, i)
	}
	if m.voided[call.key] {
		t.Fatalf("key %v runs after an entry read that its void won", call.key[0])
	}
	if m.runs[call.key]++; m.runs[call.key] > 1 {
		t.Fatalf("key %v runs %d times", call.key[0], m.runs[call.key])
	}
}

func drawKey(t *rapid.T) Key { return Key{byte(rapid.IntRange(1, 4).Draw(t, "key"))} }

// Guards against an order of claims, voids, takeovers, pauses, delayed appends and
// trims in which a key runs twice, or runs after an entry read that its void won.
func TestRandomHistoriesRunEachKeyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &simulation{harness: *newHarness(), calls: map[uint64]simulatedCall{}, runs: map[Key]int{}, voided: map[Key]bool{}}
		for i := range 3 {
			m.owners = append(m.owners, testOwner(fmt.Sprint("o", i)))
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": m.request, "step": m.step, "pause": m.pause, "resume": m.resume, "land": m.appendDelayed,
			"finish": m.finish, "void": m.void, "trim": m.trim,
			"": func(t *rapid.T) { m.now = m.now.Add(50 * time.Millisecond) },
		})
	})
}

func (m *simulation) request(t *rapid.T) {
	i, key := rapid.IntRange(0, 2).Draw(t, "owner"), drawKey(t)
	m.token++
	m.calls[m.token] = simulatedCall{i, key}
	for _, d := range m.owners[i].Request(m.now, Call{Token: m.token, Key: key, Takeover: rapid.Bool().Draw(t, "takeover")}) {
		m.checkDecision(t, i, d)
	}
}

func (m *simulation) step(t *rapid.T) {
	i := rapid.IntRange(0, 2).Draw(t, "owner")
	if job, ok := m.owners[i].NextJob(m.now); ok {
		m.runJob(t, i, job, rapid.IntRange(0, 5).Draw(t, "fault"))
	}
}

func (m *simulation) pause(t *rapid.T) {
	i := rapid.IntRange(0, 2).Draw(t, "owner")
	if job, ok := m.owners[i].NextJob(m.now); ok {
		m.paused[i] = &job
	}
}

func (m *simulation) resume(t *rapid.T) {
	i := rapid.IntRange(0, 2).Draw(t, "owner")
	if job := m.paused[i]; job != nil {
		m.paused[i] = nil
		m.runJob(t, i, *job, 0)
	}
}

func (m *simulation) appendDelayed(*rapid.T) {
	if len(m.delayed) > 0 {
		m.append(m.delayed[0])
		m.delayed = m.delayed[1:]
	}
}

// finish ends a permitted request, as run or as not run.
func (m *simulation) finish(t *rapid.T) {
	for token, call := range m.calls {
		if _, granted := m.owners[call.owner].granted[token]; !granted {
			continue
		}
		delete(m.calls, token)
		if rapid.Bool().Draw(t, "not run") {
			m.runs[call.key]--
			m.owners[call.owner].Finish(m.now, token, model.OutcomeNotRun, nil)
			return
		}
		m.owners[call.owner].Finish(m.now, token, model.OutcomeRan, &Answer{Status: 200, Body: []byte{call.key[0]}})
		return
	}
}

// void appends a void, as an entry does to resolve an unknown outcome, and reads back
// whether the void won.
func (m *simulation) void(t *rapid.T) {
	key := drawKey(t)
	m.append([]Item{{Kind: KindVoid, Key: key}})
	f := NewFold(Limits{Keys: 1, AnswerBytes: 100})
	f.ApplyBatch(Batch{First: m.first, Records: m.records[m.first:]}.ForKey(key))
	s := f.Lookup(key)
	if s == nil || !s.Void() {
		return
	}
	if m.runs[key] > 0 {
		t.Fatalf("void of key %v won although its request ran", key[0])
	}
	m.voided[key] = true
}

// trim drops the records on which no decision of this history depends: those
// before the first claim or void.
func (m *simulation) trim(*rapid.T) {
	for m.first < int64(len(m.records)) {
		for _, it := range m.records[m.first].Record.Items {
			if it.Kind != KindEpoch {
				return
			}
		}
		m.first++
	}
}
