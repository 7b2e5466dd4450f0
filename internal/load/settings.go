package load

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/settings"
)

// Protocols of a target.
const (
	ProtocolFleet  = "fleet"  // the callers' interface of entries
	ProtocolEngine = "engine" // an engine stand-in without the fleet, as a baseline
)

// Formats of the report.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Workspace is one customer that sends load.
type Workspace struct {
	Name   model.Workspace
	Key    string  // API key
	Weight float64 // share of the load relative to the others
}

// Settings are the settings of one load run.
type Settings struct {
	Entries     []string // addresses, always loopback
	Protocol    string
	Duration    time.Duration // calls are started for so long
	Grace       time.Duration // for the calls that still run then
	Rate        float64       // calls a second
	Concurrency int           // calls at once
	Seed        uint64
	Format      string
	Progress    time.Duration // between two progress lines; 0 prints none
	Workspaces  []Workspace
	Chats       Chats
	Services    Services
	Surges      Surges
	Checks      Checks
}

// Chats describes the chats.
type Chats struct {
	Model       string
	ReturnSoon  time.Duration // mean time until most chats return
	ReturnLate  time.Duration // mean time until the others return
	LateShare   float64
	NewShare    float64 // share of chat calls that open a new chat although one is due
	PromptChars int64   // length of the first prompt; it varies by half
	Tokens      int64   // tokens of an answer; it varies by half
	Attempts    int     // attempts of one call, resumptions included
}

// Services describes the calls of plain services.
type Services struct {
	Share       float64  // share of all calls
	Routes      []string // "service/route"
	RepeatShare float64  // share of calls whose key is sent again through another entry
	Stats       []string // base URLs of service stand-ins, to count runs by key
}

// Surges describes how the rate changes.
type Surges struct {
	Every  time.Duration // between two surges; 0 means none
	Length time.Duration
	Factor float64       // of the rate during a surge; one workspace sends the whole surplus
	Pause  time.Duration // without new calls after each surge
}

// Checks are the stated checks. Wrong answers and duplicates always fail a run.
type Checks struct {
	MaxCut      int64         // cut or failed calls
	MaxResumed  int64         // attempts that went on after a cut
	MaxRefused  float64       // share of calls that were refused to the end
	MinReuse    float64       // cached share of the tokens that a cache could hold
	MinWhole    int64         // whole answers
	FirstToken  time.Duration // 95th percentile; 0 means no check
	BetweenToks time.Duration // 95th percentile; 0 means no check
}

const (
	maxDuration      = 24 * time.Hour
	workspaceSection = "workspace "
	maxCount         = 1 << 40
)

// LoadSettings reads the settings of a load run and reports all faults together.
func LoadSettings(path string) (Settings, error) {
	f, err := settings.Open(path)
	if err != nil {
		return Settings{}, err
	}
	return ReadSettings(f)
}

// ReadSettings reads the settings from f.
func ReadSettings(f *settings.File) (Settings, error) {
	s := Settings{
		Entries:     f.Addresses("load", "entries"),
		Protocol:    f.OneOf("load", "protocol", ProtocolFleet, ProtocolFleet, ProtocolEngine),
		Duration:    f.Duration("load", "duration", 10*time.Second, time.Millisecond, maxDuration),
		Grace:       f.Duration("load", "grace", 10*time.Second, 0, maxDuration),
		Rate:        f.Float("load", "rate", 10, 0.001, 1e6),
		Concurrency: int(f.Int("load", "concurrency", 64, 1, 10_000)),
		Seed:        uint64(f.Int("load", "seed", 1, 0, maxCount)),
		Format:      f.OneOf("load", "format", FormatText, FormatText, FormatJSON),
		Progress:    f.Duration("load", "progress", 2*time.Second, 0, maxDuration),
		Chats:       readChats(f),
		Services: Services{
			Share:       f.Float("services", "share", 0, 0, 1),
			Routes:      f.List("services", "routes"),
			RepeatShare: f.Float("services", "repeat_share", 0.2, 0, 1),
			Stats:       f.Addresses("services", "stats"),
		},
		Surges: Surges{
			Every:  f.Duration("surges", "every", 0, 0, maxDuration),
			Length: f.Duration("surges", "length", time.Second, 0, maxDuration),
			Factor: f.Float("surges", "factor", 3, 1, 1000),
			Pause:  f.Duration("surges", "pause", 0, 0, maxDuration),
		},
		Checks: Checks{
			MaxCut:      f.Int("checks", "max_cut", 0, 0, maxCount),
			MaxResumed:  f.Int("checks", "max_resumed", maxCount, 0, maxCount),
			MaxRefused:  f.Float("checks", "max_refused", 1, 0, 1),
			MinReuse:    f.Float("checks", "min_reuse", 0, 0, 1),
			MinWhole:    f.Int("checks", "min_whole", 1, 0, maxCount),
			FirstToken:  f.Duration("checks", "first_token", 0, 0, maxDuration),
			BetweenToks: f.Duration("checks", "between_tokens", 0, 0, maxDuration),
		},
	}
	for _, section := range f.Sections() {
		if name, ok := strings.CutPrefix(section, workspaceSection); ok {
			s.Workspaces = append(s.Workspaces, Workspace{
				Name:   model.Workspace(name),
				Key:    f.Required(section, "key"),
				Weight: f.Float(section, "weight", 1, 0.001, 1e6),
			})
		}
	}
	checkSettings(f, s)
	return s, f.Err()
}

func readChats(f *settings.File) Chats {
	return Chats{
		Model:       f.String("chats", "model", ""),
		ReturnSoon:  f.Duration("chats", "return_soon", time.Minute, time.Millisecond, maxDuration),
		ReturnLate:  f.Duration("chats", "return_late", time.Hour, time.Millisecond, maxDuration),
		LateShare:   f.Float("chats", "late_share", 0.1, 0, 1),
		NewShare:    f.Float("chats", "new_share", 0.05, 0, 1),
		PromptChars: f.Int("chats", "prompt_chars", 4000, 8, 1<<20),
		Tokens:      f.Int("chats", "tokens", 40, 2, 4096),
		Attempts:    int(f.Int("chats", "attempts", 4, 1, 100)),
	}
}

func checkSettings(f *settings.File, s Settings) {
	if len(s.Entries) == 0 {
		f.AddFinding("load", "entries", "is missing", "loopback addresses")
	}
	if len(s.Workspaces) == 0 {
		f.AddFinding("load", "", "no workspace is given", "sections [workspace NAME] with a key")
	}
	if s.Services.Share > 0 && len(s.Services.Routes) == 0 {
		f.AddFinding("services", "routes", "is missing", "routes such as tracker/assign")
	}
	for _, a := range s.Entries {
		checkLoopback(f, "load", "entries", a)
	}
	for _, a := range s.Services.Stats {
		checkLoopback(f, "services", "stats", a)
	}
}

// checkLoopback refuses every other target, since load must not leave the
// machine.
func checkLoopback(f *settings.File, section, key, address string) {
	if !isLoopback(address) {
		f.AddFinding(section, key, fmt.Sprintf("has the target %q", address), "loopback addresses only")
	}
}

func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().Unmap().IsLoopback()
}
