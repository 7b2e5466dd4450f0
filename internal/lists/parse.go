package lists

import (
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/finding"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/settings"
)

// Names of the two lists in the operators' directory.
const (
	PlansFile = "plans.ini"
	UsageFile = "usage.ini"
)

// Ranges of the values in the lists.
const (
	maxPriority     = 1000
	maxRate         = 1_000_000_000 // cost units a second; also the largest burst in cost units
	maxLoadMultiple = 10
	maxSlots        = 10_000
	maxColdLimit    = 1_000_000_000 // cost units
	maxWarmTime     = 10 * time.Minute
	maxLoadSpacing  = time.Hour
	maxKeyLifetime  = 7 * 24 * time.Hour
	maxReturnTime   = time.Hour
	maxAdapters     = 256
)

// File is the content of one list.
type File struct {
	Name string // as shown in findings
	Data []byte
}

// Parse parses both lists. Its error is a finding.List with all findings of
// both. The result has no rollouts and no released fingerprints, since these are
// not declared in files.
func Parse(plans, usage File) (*Lists, error) {
	p := parser{lists: New()}
	p.plans = p.open(plans)
	p.usage = p.open(usage)
	if p.plans == nil || p.usage == nil {
		return nil, p.syntaxFindings
	}
	p.readPlans()
	p.readUsage()
	p.crossCheck()
	all := append(slices.Clone(p.plans.Findings()), p.usage.Findings()...)
	if err := all.Err(); err != nil {
		return nil, err
	}
	return p.lists, nil
}

type parser struct {
	lists          *Lists
	plans          *settings.File
	usage          *settings.File
	syntaxFindings finding.List
}

func (p *parser) open(f File) *settings.File {
	file, err := settings.Parse(f.Name, f.Data)
	var findings finding.List
	if errors.As(err, &findings) {
		p.syntaxFindings = append(p.syntaxFindings, findings...)
	}
	return file
}

// splitSection splits a section such as "pool chat" into kind and name and
// checks both.
func splitSection(f *settings.File, sec string, kinds ...Kind) (Kind, string, bool) {
	kind, name, _ := strings.Cut(sec, " ")
	name = strings.TrimSpace(name)
	if !slices.Contains(kinds, Kind(kind)) {
		allowed := make([]string, len(kinds))
		for i, k := range kinds {
			allowed[i] = fmt.Sprintf("[%s NAME]", k)
		}
		f.AddFinding(sec, "", "is not a known section", strings.Join(allowed, ", "))
		return "", "", false
	}
	if !validName(name) {
		f.AddFinding(sec, "", fmt.Sprintf("has the name %q", name), "1 to 64 letters, digits and -_./")
		return "", "", false
	}
	return Kind(kind), name, true
}

func validName(name string) bool {
	ok := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_./", r)
	}
	return name != "" && len(name) <= MaxNameBytes && strings.IndexFunc(name, func(r rune) bool { return !ok(r) }) < 0
}

func (p *parser) readPlans() {
	f := p.plans
	for _, sec := range f.Sections() {
		kind, name, ok := splitSection(f, sec, KindPlan, KindWorkspace)
		switch {
		case !ok:
		case kind == KindPlan:
			p.lists.Plans[model.Plan(name)] = Plan{
				Priority: int(number(f, sec, "priority", 0, maxPriority)),
				Rate:     number(f, sec, "rate", 1, maxRate),
				Burst:    number(f, sec, "burst", 1, maxRate),
			}
		case kind == KindWorkspace:
			p.lists.Workspaces[model.Workspace(name)] = Workspace{
				Plan:    model.Plan(f.Required(sec, "plan")),
				KeyHash: keyHash(f, sec),
			}
		}
	}
}

func keyHash(f *settings.File, sec string) string {
	v := f.Required(sec, "key_hash")
	sum, err := hex.DecodeString(v)
	if v != "" && (err != nil || len(sum) != 32 || strings.ToLower(v) != v) {
		f.AddFinding(sec, "key_hash", fmt.Sprintf("has the value %q", v), "64 lower-case hex digits, the SHA-256 of the API key")
	}
	return v
}

func (p *parser) readUsage() {
	f := p.usage
	for _, sec := range f.Sections() {
		kind, name, ok := splitSection(f, sec, KindPool, KindRoute, KindDataCentre)
		switch {
		case !ok:
		case kind == KindPool:
			p.lists.Pools[model.Pool(name)] = readPool(f, sec)
		case kind == KindRoute:
			p.lists.Routes[model.Route(name)] = Route{
				Pool:       model.Pool(f.Required(sec, "pool")),
				Idempotent: yesNo(f, sec, "idempotent"),
			}
		case kind == KindDataCentre:
			p.lists.DataCentres[model.DataCentre(name)] = DataCentre{
				Region: model.Region(f.Required(sec, "region")),
				State:  DataCentreState(oneOf(f, sec, "state", string(DataCentreIn), string(DataCentreOut))),
			}
		}
	}
}

// readPool reads a pool. Keys that only engines or only services use are
// required for that kind and unknown for the other.
func readPool(f *settings.File, sec string) Pool {
	pool := Pool{
		Kind:         model.EndpointKind(oneOf(f, sec, "kind", string(model.Engine), string(model.Service))),
		LoadMultiple: decimal(f, sec, "load_multiple", 1, maxLoadMultiple),
		Slots:        int(number(f, sec, "slots", 1, maxSlots)),
		ColdLimit:    number(f, sec, "cold_limit", 1, maxColdLimit),
		WarmTime:     duration(f, sec, "warm_time", time.Millisecond, maxWarmTime),
		ReturnTime:   duration(f, sec, "return_time", 0, maxReturnTime),
	}
	f.Required(sec, "plans")
	for _, plan := range f.List(sec, "plans") {
		pool.Plans = append(pool.Plans, model.Plan(plan))
	}
	if pool.Kind == model.Service {
		pool.KeyLifetime = duration(f, sec, "key_lifetime", time.Second, maxKeyLifetime)
		return pool
	}
	pool.KeyLifetime = f.Duration(sec, "key_lifetime", 0, time.Second, maxKeyLifetime)
	pool.Version = model.Version(f.Required(sec, "version"))
	pool.LoadSpacing = duration(f, sec, "load_spacing", time.Second, maxLoadSpacing)
	pool.HonoursFence = yesNo(f, sec, "honours_fence")
	pool.Adapters = f.List(sec, "adapters")
	if len(pool.Adapters) > maxAdapters {
		f.AddFinding(sec, "adapters", fmt.Sprintf("has %d items", len(pool.Adapters)), fmt.Sprintf("up to %d", maxAdapters))
	}
	if f.Has(sec, "role") {
		pool.Role = EngineRole(oneOf(f, sec, "role", string(RoleBoth), string(RolePrefill), string(RoleDecode)))
	}
	return pool
}

// crossCheck makes the checks that need both lists.
func (p *parser) crossCheck() {
	used := map[model.Pool]bool{}
	for name, r := range p.lists.Routes {
		used[r.Pool] = true
		pool, ok := p.lists.Pools[r.Pool]
		if ok && !r.Idempotent && pool.KeyLifetime == 0 {
			p.usage.AddFinding(section(KindRoute, string(name)), "idempotent", "is no, but the pool has no key_lifetime", "yes, or a key_lifetime in the pool")
		}
	}
	for name := range p.lists.Pools {
		if !used[name] {
			p.usage.AddFinding(section(KindPool, string(name)), "", "has no route", "one or more [route NAME] with this pool")
		}
	}
	if len(p.lists.DataCentres) == 0 {
		p.usage.AddFinding("", "", "has no data centre", "one or more [data-centre NAME]")
	}
	for _, fd := range p.lists.Check() {
		kind, _, _ := strings.Cut(fd.Section, " ")
		f := p.usage
		if kind == string(KindPlan) || kind == string(KindWorkspace) {
			f = p.plans
		}
		// A missing key has its own finding already.
		if fd.Key == "" || f.Has(fd.Section, fd.Key) && f.String(fd.Section, fd.Key, "") != "" && !f.HasFinding(fd.Section, fd.Key) {
			f.AddFinding(fd.Section, fd.Key, fd.Problem, fd.Allowed)
		}
	}
}

func number(f *settings.File, sec, key string, low, high int64) int64 {
	f.Required(sec, key)
	return f.Int(sec, key, 0, low, high)
}

func decimal(f *settings.File, sec, key string, low, high float64) float64 {
	f.Required(sec, key)
	return f.Float(sec, key, 0, low, high)
}

func duration(f *settings.File, sec, key string, low, high time.Duration) time.Duration {
	f.Required(sec, key)
	return f.Duration(sec, key, 0, low, high)
}

func oneOf(f *settings.File, sec, key string, allowed ...string) string {
	if f.Required(sec, key) == "" {
		return ""
	}
	return f.OneOf(sec, key, "", allowed...)
}

func yesNo(f *settings.File, sec, key string) bool { return oneOf(f, sec, key, "yes", "no") == "yes" }
