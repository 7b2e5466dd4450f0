package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minWorkspaceDemand is the demand, in work a second, below which a workspace is
	// forgotten.
	minWorkspaceDemand = 0.005
	// maxWorkspaces bounds the workspaces of a pool whose demand is kept. It is above the
	// 16,000 of the target size.
	maxWorkspaces = 1 << 15
)

// workspaceKey identifies the requests of one workspace with one priority.
type workspaceKey struct {
	workspace uint32
	priority  int
}

// workspaceDemand is the demand of one workspace at this router.
type workspaceDemand struct {
	arrived float64    // work since the last tick
	rate    float64    // work a second
	credit  [2]float64 // of returning and of new requests to admit
}

// fairness is the division of the capacity that is left for the priority which is
// admitted in part. The zero value divides nothing.
type fairness struct {
	priority int
	mean     float64            // admitted share of the priority; 0 if there is nothing to divide
	heavy    map[uint32]float64 // admitted shares of the workspaces with the most demand
	others   float64            // admitted share of all other workspaces
}

// share returns the admitted share of a workspace whose class is admitted at classShare.
func (f fairness) share(workspace uint32, classShare float64) float64 {
	s, ok := f.heavy[workspace]
	if !ok {
		s = f.others
	}
	if s >= 1 {
		return 1
	}
	return min(1, classShare*s/f.mean)
}

// divide divides capacity by weighted max-min with equal weights among the workspaces with
// the given demands and the others, whose demands are known only by their sum and number.
func divide(capacity float64, heavy map[uint32]float64, others float64, count int) (shares map[uint32]float64, othersShare float64) {
	type entry struct {
		workspace uint32
		demand    float64
		number    float64 // of workspaces
	}
	var list []entry
	for w, d := range heavy {
		list = append(list, entry{w, d, 1})
	}
	n := float64(len(list))
	if others > 0 {
		count = max(count, 1)
		list = append(list, entry{demand: others / float64(count), number: float64(count)})
		n += float64(count)
	}
	slices.SortFunc(list, func(a, b entry) int { return cmp.Compare(a.demand, b.demand) })
	level := math.Inf(1)
	for _, e := range list {
		if e.demand*n >= capacity {
			level = capacity / n
			break
		}
		capacity -= e.demand * e.number
		n -= e.number
	}
	shares = map[uint32]float64{}
	for w, d := range heavy {
		shares[w] = min(1, level/d)
	}
	othersShare = 1
	if others > 0 {
		othersShare = min(1, level*float64(count)/others)
	}
	return shares, othersShare
}

// workspace returns the demand of a workspace, nil if there are too many.
func (p *pool) workspace(key workspaceKey, random float64) *workspaceDemand {
	w := p.workspaces[key]
	if w == nil && len(p.workspaces) < maxWorkspaces {
		// A random start keeps workspaces with few requests at their share on average.
		w = &workspaceDemand{credit: [2]float64{random, random}}
		p.workspaces[key] = w
	}
	return w
}

// averageWorkspaces updates the averages of the workspaces' arrivals.
func (p *pool) averageWorkspaces(dt time.Duration) {
	s := min(dt.Seconds(), 1)
	keep := math.Exp(-s / workspaceTime.Seconds())
	for key, w := range p.workspaces {
		w.rate = keep*w.rate + (1-keep)*w.arrived/s
		w.arrived = 0
		if w.rate < minWorkspaceDemand {
			delete(p.workspaces, key)
		}
	}
}

// workspaceTime is the time constant of the workspaces' averages. A router gets few
// requests of most of them.
const workspaceTime = time.Second

// setFair divides what is left for the priority that is admitted in part.
func (p *pool) setFair() {
	p.fair = fairness{}
	if !p.active || p.admitted[p.restricted] >= 1 && p.admitted[p.restricted+1] >= 1 {
		return
	}
	priority := p.restricted / 2
	demand := p.total()
	total := demand[2*priority] + demand[2*priority+1]
	capacity := p.admitted[2*priority]*demand[2*priority] + p.admitted[2*priority+1]*demand[2*priority+1]
	if total <= 0 || capacity <= 0 || len(p.workspaces) == 0 {
		return
	}
	heavy := map[uint32]float64{}
	for _, h := range p.heaviest(priority) {
		heavy[h.Workspace] += h.Demand
	}
	for _, peer := range p.peers {
		if peer.HeavyPriority == priority && !p.alone() {
			for _, h := range peer.Heavy {
				heavy[h.Workspace] += h.Demand
			}
		}
	}
	others, count := total, 0
	for _, d := range heavy {
		others -= d
	}
	for key := range p.workspaces {
		if _, ok := heavy[key.workspace]; !ok && key.priority == priority {
			count++
		}
	}
	p.fair.priority, p.fair.mean = priority, capacity/total
	p.fair.heavy, p.fair.others = divide(capacity, heavy, max(0, others), count)
}

// heavyRatio is the ratio to the median at which the demand of a workspace counts as heavy.
// Routers that report different ones of about equal workspaces would each know a part of
// their demand only.
const heavyRatio = 3

// heaviest returns the workspaces with far more demand of a priority at this router than
// most others.
func (p *pool) heaviest(priority int) []Heavy {
	var out []Heavy
	for key, w := range p.workspaces {
		if key.priority == priority && w.rate > 0 {
			out = append(out, Heavy{key.workspace, w.rate})
		}
	}
	slices.SortFunc(out, func(a, b Heavy) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Workspace, b.Workspace))
	})
	if len(out) == 0 {
		return nil
	}
	least := heavyRatio * out[len(out)/2].Demand
	out = slices.DeleteFunc(out, func(h Heavy) bool { return h.Demand < least })
	return out[:min(len(out), MaxHeavy)]
}
