package claim

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// machine is a random history of three owners, entries that void, pauses, lost
// and late appends, and a log with retention.
type machine struct {
	bench
	owners  []*Owner
	paused  [3]*Job // a job whose append has not happened yet
	running map[uint64]grantedRun
	runs    map[Key]int
	voided  map[Key]bool // an entry was told that its void won
	late    [][]Item     // appends that take effect later
	token   uint64
	first   int64
}

type grantedRun struct {
	owner int
	key   Key
}

// do runs one job of owner i to its end and takes its decisions.
func (m *machine) do(t *rapid.T, i int, job Job, fault int) {
	var res JobResult
	if len(job.Items) > 0 {
		switch fault {
		case 1: // the append takes effect after the owner gave up
			m.late = append(m.late, job.Items)
			res = JobResult{Append: logsvc.AppendResult{State: logsvc.AppendNotFound}, ReadErr: errTest}
		case 2: // the append took effect and the log cannot be read
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
		m.decided(t, i, d)
	}
}

func (m *machine) feedFrom(o *Owner, from int64) {
	from = min(max(from, m.first), int64(len(m.records)))
	o.Feed(Batch{First: m.first, Next: int64(len(m.records)), Records: m.records[from:]})
}

func (m *machine) decided(t *rapid.T, i int, d CallDecision) {
	run, ok := m.running[d.Token]
	if !d.Run {
		delete(m.running, d.Token)
		return
	}
	if !ok || run.owner != i {
		t.Fatalf("token %d was decided at owner %d", d.Token, i)
	}
	if m.voided[run.key] {
		t.Fatalf("key %v runs after an entry was told that it will not", run.key[0])
	}
	if m.runs[run.key]++; m.runs[run.key] > 1 {
		t.Fatalf("key %v runs %d times", run.key[0], m.runs[run.key])
	}
}

func drawKey(t *rapid.T) Key { return Key{byte(rapid.IntRange(1, 4).Draw(t, "key"))} }

// Guards against any order of claims, voids, takeovers, pauses, late appends
// and retention in which a key runs twice, or runs after an entry was told that
// it does not.
func TestRandomHistoriesRunEachKeyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{bench: *newBench(), running: map[uint64]grantedRun{}, runs: map[Key]int{}, voided: map[Key]bool{}}
		for i := range 3 {
			m.owners = append(m.owners, testOwner(fmt.Sprint("o", i)))
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": m.request, "step": m.step, "pause": m.pause, "resume": m.resume, "land": m.land,
			"finish": m.finish, "void": m.void, "trim": m.trim,
			"": func(t *rapid.T) { m.now = m.now.Add(50 * time.Millisecond) },
		})
	})
}

func (m *machine) request(t *rapid.T) {
	i, key := rapid.IntRange(0, 2).Draw(t, "owner"), drawKey(t)
	m.token++
	m.running[m.token] = grantedRun{i, key}
	for _, d := range m.owners[i].Request(m.now, Call{Token: m.token, Key: key, Takeover: rapid.Bool().Draw(t, "takeover")}) {
		m.decided(t, i, d)
	}
}

func (m *machine) step(t *rapid.T) {
	i := rapid.IntRange(0, 2).Draw(t, "owner")
	if job, ok := m.owners[i].NextJob(m.now); ok {
		m.do(t, i, job, rapid.IntRange(0, 5).Draw(t, "fault"))
	}
}

func (m *machine) pause(t *rapid.T) {
	i := rapid.IntRange(0, 2).Draw(t, "owner")
	if job, ok := m.owners[i].NextJob(m.now); ok {
		m.paused[i] = &job
	}
}

func (m *machine) resume(t *rapid.T) {
	i := rapid.IntRange(0, 2).Draw(t, "owner")
	if job := m.paused[i]; job != nil {
		m.paused[i] = nil
		m.do(t, i, *job, 0)
	}
}

func (m *machine) land(*rapid.T) {
	if len(m.late) > 0 {
		m.append(m.late[0])
		m.late = m.late[1:]
	}
}

// finish ends a run, sometimes as one that never started.
func (m *machine) finish(t *rapid.T) {
	for token, run := range m.running {
		if _, granted := m.owners[run.owner].granted[token]; !granted {
			continue
		}
		delete(m.running, token)
		if rapid.Bool().Draw(t, "not run") {
			m.runs[run.key]--
			m.owners[run.owner].Finish(m.now, token, model.OutcomeNotRun, nil)
			return
		}
		m.owners[run.owner].Finish(m.now, token, model.OutcomeRan, &Answer{Status: 200, Body: []byte{run.key[0]}})
		return
	}
}

// void is an entry that gives up: it appends a void and folds the stream.
func (m *machine) void(t *rapid.T) {
	key := drawKey(t)
	m.append([]Item{{Kind: KindVoid, Key: key}})
	f := NewFold(Limits{Keys: 1, AnswerBytes: 100})
	f.ApplyBatch(Batch{First: m.first, Records: m.records[m.first:]}.ForKey(key))
	s := f.Lookup(key)
	if s == nil || !s.Void() {
		return
	}
	if m.runs[key] > 0 {
		t.Fatalf("void of key %v won although it ran", key[0])
	}
	m.voided[key] = true
}

// trim drops records that no decision of this history rests on: those before
// the first claim or void.
func (m *machine) trim(*rapid.T) {
	for m.first < int64(len(m.records)) {
		for _, it := range m.records[m.first].Record.Items {
			if it.Kind != KindEpoch {
				return
			}
		}
		m.first++
	}
}
