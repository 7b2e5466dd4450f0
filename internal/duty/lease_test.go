package duty

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// testTiming is the timing of the users' deployments.
var testTiming = Timing{Lease: 3000 * ms, Renew: 1000 * ms, Flight: 600 * ms, Margin: 400 * ms, Step: 400 * ms}

const (
	flight     = 600 * ms // the longest that a call of the model is on its way
	testWindow = 5000 * ms
)

// storeRecord is one append to the store of the model.
type storeRecord struct {
	lease   Lease
	journal Journal
}

// operation is a call of a node to the store. It may be executed at any time after it was
// sent, also after the node has given up waiting.
type operation struct {
	read     bool
	add      Append
	record   storeRecord
	sent     time.Duration
	executed bool
	ok       bool
	at       Position // at the execution
	found    storeRecord
}

type node struct {
	name    string
	elector *Elector
	reports *Reports
	frozen  bool
	op      *operation // waited for
	found   storeRecord
	restart int
}

// call is a usage report that arrives at the platform.
type call struct {
	holder string
	token  Token
	report Report
	at     time.Duration
}

// model is a store, two nodes and the calls that they make.
type model struct {
	choose func(n int) int
	timing Timing
	now    time.Duration
	era    uint64
	log    []storeRecord
	ops    []*operation // not executed
	nodes  []*node
	calls  []call
	count  int64 // makes the counts of each start differ
}

func newModel(choose func(int) int, timing Timing) *model {
	m := &model{choose: choose, timing: timing, now: time.Hour, era: 1}
	for _, name := range []string{"a", "b"} {
		m.nodes = append(m.nodes, &node{name: name, elector: NewElector(name, 1, timing, m.now), reports: NewReports(time.Second)})
	}
	return m
}

// step makes one step: time passes, an operation is executed, a reply arrives or is lost, a
// node acts, freezes or restarts, or the store is restored from an older copy.
func (m *model) step() {
	n := m.nodes[m.choose(len(m.nodes))]
	switch c := m.choose(1000); {
	case c < 200:
		m.now += time.Duration(m.choose(7)) * 50 * ms
	case c < 480:
		if len(m.ops) > 0 {
			i := len(m.ops) - 1
			if m.choose(4) == 0 {
				i = m.choose(len(m.ops))
			}
			op := m.ops[i]
			m.ops = slices.Delete(m.ops, i, i+1)
			m.execute(op)
		}
	case c < 960:
		if n.frozen = n.frozen && m.choose(30) > 0; !n.frozen {
			m.act(n)
		}
	case c < 975:
		n.op = nil // gives up; the operation may still be executed
		n.elector.Failed()
	case c < 980:
		n.frozen = true
	case c < 983:
		n.restart++
		n.elector, n.reports, n.op = NewElector(n.name, uint64(1+n.restart), m.timing, m.now), NewReports(time.Second), nil
	case c < 988:
		if len(m.log) > 0 {
			m.era++
			m.log = m.log[:len(m.log)-1-m.choose(min(len(m.log), 4))]
		}
	default:
		m.now += time.Duration(m.choose(5)) * time.Second
	}
}

func (m *model) newest() (out storeRecord) {
	if len(m.log) > 0 {
		out = m.log[len(m.log)-1]
	}
	return out
}

func (m *model) execute(op *operation) {
	op.executed = true
	if op.read {
		op.ok, op.found = true, m.newest()
	} else if op.add.At.End == int64(len(m.log)) {
		rec := op.record
		if rec.journal.Next == 0 {
			rec.journal = m.newest().journal // another key
		}
		m.log = append(m.log, rec)
		op.ok = true
	}
	op.at = Position{m.era, int64(len(m.log))}
}

func (m *model) send(n *node, op *operation) {
	op.sent = m.now
	n.op = op
	m.ops = append(m.ops, op)
}

// act has a node take a reply or make its next call.
func (m *model) act(n *node) {
	if n.op != nil {
		if n.op.executed {
			op := n.op
			n.op = nil
			m.reply(n, op)
		}
		return
	}
	if token, _, ok := n.elector.Holds(m.now); ok && m.now >= n.elector.CallsFrom() {
		if rep, due := n.reports.Due(m.now); due {
			m.calls = append(m.calls, call{n.name, token, rep, m.now + time.Duration(m.choose(4))*flight/3})
			n.reports.Apply(rep.Window, Outcome(m.choose(2)), m.now)
			return
		}
	}
	if !n.elector.Known() {
		m.send(n, &operation{read: true})
		return
	}
	a, due := n.elector.Next(m.now, 0)
	_, _, holds := n.elector.Holds(m.now)
	window := int64(m.now/testWindow) - 1
	switch {
	case holds && n.reports.Next() <= window:
		m.count++
		more := []Report{{window, map[string]int64{"w": m.count}}}
		a = n.elector.Renewal()
		m.send(n, &operation{add: a, record: storeRecord{a.Lease, n.reports.Journal(a.At.Era, more)}})
	case holds && m.choose(60) == 0:
		m.now += flight // until the calls have arrived
		a = n.elector.Release(m.now)
		m.send(n, &operation{add: a, record: storeRecord{lease: a.Lease}})
	case due && a.Carried:
		m.send(n, &operation{add: a, record: storeRecord{a.Lease, n.reports.Journal(a.At.Era, nil)}})
	case due:
		m.send(n, &operation{add: a, record: storeRecord{lease: a.Lease}})
	case m.choose(2) == 0:
		m.send(n, &operation{read: true})
	}
}

func (m *model) reply(n *node, op *operation) {
	_, _, before := n.elector.Holds(m.now)
	var holds, carried bool
	switch {
	case op.read:
		n.elector.Observe(m.now, op.at, op.found.lease)
		if at, _ := n.elector.Seen(); at == op.at {
			n.found = op.found
		}
		_, _, holds = n.elector.Holds(m.now)
		if before && holds {
			n.reports.Merge(op.found.journal, op.at.Era)
		}
	case !op.ok:
		n.elector.Failed()
		return
	default:
		holds = n.elector.Succeeded(op.add, op.sent, m.now, op.at)
		carried = op.add.Carried
		if !n.elector.Known() {
			return
		}
		if holds && !before {
			n.reports.Take(n.found.journal, op.at.Era, carried, int64(m.now/testWindow))
		}
		if op.record.journal.Next > 0 {
			n.found.journal = op.record.journal
			n.reports.Merge(op.record.journal, op.at.Era)
		}
		return
	}
	if holds && !before {
		// Windows are reported after their end, so the first one that nobody can have
		// started is the current one.
		n.reports.Take(n.found.journal, op.at.Era, false, int64(m.now/testWindow))
	}
}

// fault returns which rule the calls break, or an empty string.
func (m *model) fault() string {
	slices.SortStableFunc(m.calls, func(a, b call) int { return cmp.Compare(a.at, b.at) })
	holders, counts := map[Token]string{}, map[int64]map[string]int64{}
	for i, c := range m.calls {
		if h, ok := holders[c.token]; ok && h != c.holder {
			return fmt.Sprintf("token %d of %s and %s", c.token, h, c.holder)
		}
		holders[c.token] = c.holder
		if sent, ok := counts[c.report.Window]; ok && !maps.Equal(sent, c.report.Counts) {
			return fmt.Sprintf("window %d with %v and %v", c.report.Window, sent, c.report.Counts)
		}
		counts[c.report.Window] = c.report.Counts
		if i > 0 && c.token < m.calls[i-1].token {
			return fmt.Sprintf("token %d after %d", c.token, m.calls[i-1].token)
		}
		other := false
		for j := i - 1; j >= 0 && c.at-m.calls[j].at < testTiming.Lease; j-- {
			if m.calls[j].holder != c.holder {
				other = true
			} else if other {
				return fmt.Sprintf("%s called %v ago, and another since", c.holder, c.at-m.calls[j].at)
			}
		}
	}
	return ""
}

const modelSteps = 1500

// Guards against two counts for a window, a token of two holders, a token that falls and
// holders that alternate, for any order of the steps of two routers and a store that loses,
// delays and forgets.
func TestLeaseKeepsTheRulesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }, testTiming)
		for range modelSteps {
			m.step()
		}
		if f := m.fault(); f != "" {
			t.Fatal(f)
		}
	})
}

// search runs the model with the given seeds and returns the first fault and the number
// of calls and holders.
func search(seeds int, timing Timing) (fault string, calls, changes int) {
	for seed := range seeds {
		random := rand.New(rand.NewPCG(uint64(seed), 48))
		m := newModel(random.IntN, timing)
		for range modelSteps {
			m.step()
		}
		calls += len(m.calls)
		for i, c := range m.calls {
			if i > 0 && c.holder != m.calls[i-1].holder {
				changes++
			}
		}
		if f := m.fault(); f != "" {
			return fmt.Sprintf("seed %d: %s", seed, f), calls, changes
		}
	}
	return "", calls, changes
}

// Guards against a model that finds no fault since it makes no calls, or since it never
// comes near the bounds: without the waiting time of a successor, or with calls up to the
// end of the lease, it must find one.
func TestTheSearchFindsFaults(t *testing.T) {
	is := is.New(t)
	fault, calls, changes := search(20_000, testTiming)
	is.Equal(fault, "")
	t.Logf("%d calls, %d changes of the holder", calls, changes)
	is.True(calls > 10_000)
	is.True(changes > 1000)
	for name, change := range map[string]func(*Timing){
		"a successor that does not wait":        func(t *Timing) { t.Margin = -2000 * ms },
		"calls that may arrive after the lease": func(t *Timing) { t.Flight, t.Margin = -400*ms, 0 },
		"calls long after the end of the lease": func(t *Timing) { t.Flight = -5000 * ms },
	} {
		timing := testTiming
		change(&timing)
		if fault, _, _ := search(2000, timing); fault == "" {
			t.Errorf("no fault was found with %s", name)
		} else {
			t.Logf("%s: %s", name, fault)
		}
	}
}
