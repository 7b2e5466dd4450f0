package ctl

import (
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
)

func releaseCommand() Command {
	return Command{
		Name: "release", Usage: "FINGERPRINT", Summary: "let a suspected request run again", Args: 1,
		Flags:   waitFlag,
		Filters: func(*Job) []Filter { return []Filter{readAccepted{}, changeOne(release), appendRecord{}, wait{}} },
		Print:   printApplied,
		JSON:    appliedJSON,
	}
}

// fingerprintDigits is the length of a fingerprint in hex digits.
const fingerprintDigits = 16

// releaseKept is how long a release stays in the configuration. A suspicion
// lasts 10 minutes, so a day leaves room for records read late.
const releaseKept = 24 * time.Hour

// release sets the release and removes the ones that no longer matter, so that
// their number stays bounded.
func release(job *Job, accepted *lists.Lists) ([]lists.Change, error) {
	name := job.Args[0]
	if _, err := strconv.ParseUint(name, 16, 64); err != nil || len(name) != fingerprintDigits {
		return nil, eris.Errorf("fingerprint %q is not %d hex digits", name, fingerprintDigits)
	}
	now := time.Now().UTC().Truncate(time.Millisecond)
	changes, err := one(lists.KindReleased, name, now)
	for old, at := range accepted.Released {
		if old != name && now.Sub(at) > releaseKept {
			changes = append(changes, lists.Change{Kind: lists.KindReleased, Name: old})
		}
	}
	return changes, err
}
