package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
)

const (
	// holdFraction is the fraction of the rollout window with the first share, so
	// that a regression in the first half of the window affects a small share only.
	holdFraction = 0.5
	// longHoldFraction is the fraction of the window with the first share while
	// there is too little evidence. The rest is long enough to finish the rollout
	// by its deadline.
	longHoldFraction = 0.75
	// fullShareFraction is the fraction of the window after which every chat
	// belongs to the new version. Until then the old version serves for comparison;
	// the remainder covers the time in which a decision reaches all processes.
	fullShareFraction = 0.98
)

// Share returns the share of chats, from 0 to 1, that belong to the new version
// of r at now. enough says whether both versions have the minimum of evidence.
// The share of an active rollout never decreases over time.
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
	fraction := float64(now.Sub(r.Start)) / float64(max(window, 1))
	hold := holdFraction
	if !enough {
		hold = longHoldFraction
	}
	return stepShare(r, fraction, hold)
}

func stepShare(r lists.Rollout, fraction, hold float64) float64 {
	switch {
	case fraction < hold:
		return r.FirstShare
	case fraction >= fullShareFraction:
		return 1
	}
	steps := max(r.Steps, 1)
	step := int((fraction - hold) / (fullShareFraction - hold) * float64(steps))
	return r.FirstShare + (1-r.FirstShare)*float64(step)/float64(steps)
}

// Position returns the position of a chat, from 0 to 1, in the order in which
// chats move to the new version. The order differs between rollouts, so that the
// same chats are not always first.
func Position(rollout, hashKey string) float64 {
	return float64(xxhash.Sum64String(rollout+"\x00"+hashKey)>>11) / (1 << 53)
}

// UsesNew reports whether a chat belongs to the new version at the given share.
// A chat changes its version at most once as long as the share does not decrease.
func UsesNew(rollout, hashKey string, share float64) bool {
	return Position(rollout, hashKey) < share
}

// Finished reports whether every chat has belonged to the new version long enough
// for every entry to have received the decision.
func Finished(r lists.Rollout, now time.Time) bool {
	window := r.Deadline.Sub(r.Start)
	return !now.Before(r.Start.Add(time.Duration(doneFraction * float64(window))))
}

// doneFraction is the fraction of the window after which a rollout is done. It
// lies between the last step and the deadline.
const doneFraction = 0.99
