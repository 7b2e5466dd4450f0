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
		Filters: func(*Job) []Filter { return []Filter{readAccepted{}, change(release), appendRecord{}, wait{}} },
		Print:   printApplied,
		JSON:    appliedJSON,
	}
}

// fingerprintDigits is the length of a fingerprint in hex digits.
const fingerprintDigits = 16

// releaseRetention is how long a release stays in the configuration. A suspect
// expires after 10 minutes; the rest of the day allows for records that are
// read late.
const releaseRetention = 24 * time.Hour

// release releases a suspect fingerprint. It also removes expired releases,
// which bounds their number.
func release(job *Job, accepted *lists.Lists) ([]lists.Change, error) {
	name := job.Args[0]
	if _, err := strconv.ParseUint(name, 16, 64); err != nil || len(name) != fingerprintDigits {
		return nil, eris.Errorf("fingerprint %q is not %d hex digits", name, fingerprintDigits)
	}
	now := time.Now().UTC().Truncate(time.Millisecond)
	changes, err := setOne(lists.KindReleased, name, now)
	for other, releasedAt := range accepted.Released {
		if other != name && now.Sub(releasedAt) > releaseRetention {
			changes = append(changes, lists.Change{Kind: lists.KindReleased, Name: other})
		}
	}
	return changes, err
}
