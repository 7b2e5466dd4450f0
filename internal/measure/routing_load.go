package measure

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/admit"
)

// fleetSize is the size and the load of the fleet of one of the first users.
type fleetSize struct {
	name       string
	centres    int
	engines    int
	entries    int
	workspaces int
	oneWay     time.Duration // between data centres
	rate       float64       // turns a second
	chats      int
}

// fleetSizes are the sizes of both first users. The rates give about 18 running
// requests an engine. The target size has twice that: 1.6 million tokens/s on
// 850 engines at 20 ms a token make 38.
var fleetSizes = []fleetSize{
	{"kauri", 3, 10, 3, 10, 500 * time.Microsecond, 10, 900},
	{"kalesa", 4, 20, 4, 10, 1500 * time.Microsecond, 20, 1800},
}

// The behaviour of the fake engines, and times of the simulated fleet.
const (
	warmPrefillRate = 20_000.0 // prompt units a second that are not cached
	coldPrefillRate = 5_000.0
	tokenTime       = 30 * time.Millisecond
	firstTokenTime  = 20 * time.Millisecond // from admission to the first token with the whole prompt cached
	cacheLimit      = 900_000               // units; about twice what the chats of an engine take
	maxHistory      = 14_000
	runTime         = 7 * time.Minute
	reportInterval  = time.Second // of load reports at this size
)

// poolLimits are the limits that the operators' lists would set for the pool.
var poolLimits = admit.Limits{LoadMultiple: 2, Slots: 48, ColdLimit: 20_000, WarmTime: 1500 * time.Millisecond}

// turn is one request of a chat.
type turn struct {
	at        time.Duration
	chat      int
	workspace string
	entry     int
	prompt    int64
	tokens    int64
	surge     bool
}

// surge is the load of an additional workspace for a while.
type surge struct {
	from, to time.Duration
	factor   float64 // of the usual rate of all workspaces together
}

// turns returns the load of one run. It depends only on the seed, so that all
// methods get the same load.
func turns(size fleetSize, seed uint64, s *surge) []turn {
	rng := rand.New(rand.NewPCG(seed, 1))
	var out []turn
	chat := 0
	for range size.chats {
		gap := float64(size.chats) / size.rate
		out, chat = chatTurns(out, chat, rng, size, workspaceOf(rng, size), gap, 0, runTime, false)
	}
	if s != nil {
		const gap = 20.0 // seconds between the turns of a surging chat
		for range int(size.rate * s.factor * gap) {
			out, chat = chatTurns(out, chat, rng, size, "ws-surge", gap, s.from, s.to, true)
		}
	}
	slices.SortStableFunc(out, func(a, b turn) int { return cmp.Compare(a.at, b.at) })
	return out
}

// workspaceOf draws a workspace. The first few get most of the load.
func workspaceOf(rng *rand.Rand, size fleetSize) string {
	return fmt.Sprintf("ws-%d", int(float64(size.workspaces)*math.Pow(rng.Float64(), 2)))
}

func chatTurns(out []turn, chat int, rng *rand.Rand, size fleetSize, workspace string, gap float64, from, to time.Duration, surging bool) ([]turn, int) {
	at := from + time.Duration(rng.Float64()*gap*float64(time.Second))
	history := int64(500 + rng.ExpFloat64()*2500)
	for at < to {
		prompt := min(history+100+rng.Int64N(400), maxHistory)
		tokens := 200 + rng.Int64N(800)
		out = append(out, turn{at, chat, workspace, rng.IntN(size.entries), prompt, tokens, surging})
		history = prompt + tokens
		if history >= maxHistory {
			chat, history = chat+1, 500
		}
		at += time.Duration((0.1 + 0.9*rng.ExpFloat64()) * gap * float64(time.Second))
	}
	return out, chat + 1
}
