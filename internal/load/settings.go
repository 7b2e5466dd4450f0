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
	ProtocolFleet  = "fleet"  // client API of entries
	ProtocolEngine = "engine" // API of an engine stand-in, as a baseline without the fleet
)

// Formats of the report.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Workspace is a customer in whose name calls are sent.
type Workspace struct {
	Name   model.Workspace
	Key    string  // API key
	Weight float64 // share of the load, relative to the other workspaces
}

// Settings describes a load run.
type Settings struct {
	Entries     []string // loopback addresses
	Protocol    string
	Duration    time.Duration // time during which calls are started
	Grace       time.Duration // time for the calls still in flight after Duration
	Rate        float64       // calls a second
	Concurrency int           // maximum number of calls in flight
	Seed        uint64
	Format      string
	Progress    time.Duration // interval between progress lines; 0 prints none
	Workspaces  []Workspace
	Chats       Chats
	Services    Services
	Surges      Surges
	Checks      Checks
}

// Chats describes the chat calls.
type Chats struct {
	Model       string
	ReturnSoon  time.Duration // mean time until the next turn of most chats
	ReturnLate  time.Duration // mean time until the next turn of the other chats
	LateShare   float64       // share of turns that use ReturnLate
	NewShare    float64       // share of chat calls that open a new chat although another is due
	PromptChars int64         // mean length of the first prompt; varies by half
	Tokens      int64         // mean number of tokens of an answer; varies by half
	Attempts    int           // maximum number of attempts of a call, including those that resume
}

// Services describes the calls of plain services.
type Services struct {
	Share       float64  // share of all calls
	Routes      []string // "service/route"
	RepeatShare float64  // share of calls that are sent again with the same key through another entry
	Stats       []string // addresses of service stand-ins that report runs by key
}

// Surges describes how the rate changes.
type Surges struct {
	Every  time.Duration // interval between the starts of two surges; 0 means none
	Length time.Duration
	Factor float64       // factor on the rate during a surge, whose calls come from one workspace
	Pause  time.Duration // time without new calls after each surge
}

// Checks holds the limits that a run must keep. Wrong answers and duplicates
// fail a run whatever the limits.
type Checks struct {
	MaxCut        int64         // calls that were interrupted or failed
	MaxResumed    int64         // attempts that resumed a truncated answer
	MaxRefused    float64       // share of calls that ended with a refusal
	MinReuse      float64       // share of the cacheable tokens that came from a cache
	MinWhole      int64         // complete answers
	FirstToken    time.Duration // 95th percentile; 0 means no check
	BetweenTokens time.Duration // 95th percentile; 0 means no check
}

const (
	maxDuration      = 24 * time.Hour
	workspaceSection = "workspace "
	maxInteger       = 1 << 40
)

// LoadSettings reads the settings file at path and reports all findings together.
func LoadSettings(path string) (Settings, error) {
	f, err := settings.Open(path)
	if err != nil {
		return Settings{}, err
	}
	return ReadSettings(f)
}

// ReadSettings reads and checks the settings in f.
func ReadSettings(f *settings.File) (Settings, error) {
	s := Settings{
		Entries:     f.Addresses("load", "entries"),
		Protocol:    f.OneOf("load", "protocol", ProtocolFleet, ProtocolFleet, ProtocolEngine),
		Duration:    f.Duration("load", "duration", 10*time.Second, time.Millisecond, maxDuration),
		Grace:       f.Duration("load", "grace", 10*time.Second, 0, maxDuration),
		Rate:        f.Float("load", "rate", 10, 0.001, 1e6),
		Concurrency: int(f.Int("load", "concurrency", 64, 1, 10_000)),
		Seed:        uint64(f.Int("load", "seed", 1, 0, maxInteger)),
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
			MaxCut:        f.Int("checks", "max_cut", 0, 0, maxInteger),
			MaxResumed:    f.Int("checks", "max_resumed", maxInteger, 0, maxInteger),
			MaxRefused:    f.Float("checks", "max_refused", 1, 0, 1),
			MinReuse:      f.Float("checks", "min_reuse", 0, 0, 1),
			MinWhole:      f.Int("checks", "min_whole", 1, 0, maxInteger),
			FirstToken:    f.Duration("checks", "first_token", 0, 0, maxDuration),
			BetweenTokens: f.Duration("checks", "between_tokens", 0, 0, maxDuration),
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

// checkLoopback adds a finding for an address that is not loopback, because load
// must not leave the machine.
func checkLoopback(f *settings.File, section, key, address string) {
	if !isLoopback(address) {
		f.AddFinding(section, key, fmt.Sprintf("has the target %q", address), "loopback addresses only")
	}
}

func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().Unmap().IsLoopback()
}
