package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
)

const (
	// holdPart is the part of the window that keeps the first share. A fault
	// that shows in the first half of the window then meets a small share.
	holdPart = 0.5
	// longHoldPart is the part of the window that keeps the first share while
	// there is too little evidence. The rest still lets the move finish by its
	// deadline.
	longHoldPart = 0.75
	// finishPart is the part of the window after which every chat belongs to
	// the new version. The old version serves for comparison until then; the
	// remainder covers the time for a decision to spread.
	finishPart = 0.98
)

// Share returns the share of chats, from 0 to 1, that belong to the new version
// of r at now. enough tells whether the evidence of both versions reached its
// minimum. The share never falls as time passes.
func Share(r lists.Rollout, now time.Time, enough bool) float64 {
	switch {
	case r.State == lists.RolloutRolledBack:
		return 0
	case r.State == lists.RolloutDone:
		return 1
	case now.Before(r.Start):
		return 0
	}
	window := r.Deadline.Sub(r.Start)
	part := float64(now.Sub(r.Start)) / float64(max(window, 1))
	hold := holdPart
	if !enough {
		hold = longHoldPart
	}
	return stepShare(r, part, hold)
}

func stepShare(r lists.Rollout, part, hold float64) float64 {
	switch {
	case part < hold:
		return r.FirstShare
	case part >= finishPart:
		return 1
	}
	steps := max(r.Steps, 1)
	step := int((part - hold) / (finishPart - hold) * float64(steps))
	return r.FirstShare + (1-r.FirstShare)*float64(step)/float64(steps)
}

// Position returns the position of a chat, from 0 to 1, in the order in which
// chats move to the new version. It differs between rollouts, so that the same
// chats are not always the first ones.
func Position(rollout, hashKey string) float64 {
	return float64(xxhash.Sum64String(rollout+"\x00"+hashKey)>>11) / (1 << 53)
}

// UsesNew reports whether a chat belongs to the new version at the given share.
// A chat changes its version at most once while the share only grows.
func UsesNew(rollout, hashKey string, share float64) bool {
	return Position(rollout, hashKey) < share
}

// Finished reports whether every chat has had the new version long enough for
// every entry to know.
func Finished(r lists.Rollout, now time.Time) bool {
	window := r.Deadline.Sub(r.Start)
	return !now.Before(r.Start.Add(time.Duration(finishedPart * float64(window))))
}

// finishedPart is the part of the window after which a rollout is done. It lies
// between the last step and the deadline.
const finishedPart = 0.99
