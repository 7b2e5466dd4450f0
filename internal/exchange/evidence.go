package exchange

import (
	"cmp"
	"maps"
	"slices"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/rollout"
	"github.com/goldcrestturn/goldcrestturn/internal/summary"
)

// MethodEvidence carries the evidence of rollouts from a side to its aggregators
// and from an aggregator to the roots. It is called only while a rollout is
// active.
const MethodEvidence = "E.Evidence"

// maxEvidence bounds the number of items in one message.
const maxEvidence = 256

// EvidenceArgs carries the total counts of one source.
type EvidenceArgs struct {
	Pool   string
	Region string
	Source string // endpoint, or group of an aggregator
	Group  bool   // sent by an aggregator to a root
	// Rollout is the rollout of all items. A pool has one active rollout, whose
	// name is longer than the rest of an item.
	Rollout string
	Items   []EvidenceItem
	News    News
}

// EvidenceItem is the message form of one key and its counts.
type EvidenceItem struct {
	Version  string
	Route    string
	Requests int64
	Failures int64
	Slow     int64
}

// FromEvidence returns the message with the total counts of source for the
// rollout with the given name.
func FromEvidence(k summary.Key, source string, group bool, name string, e rollout.Evidence) EvidenceArgs {
	a := EvidenceArgs{Pool: string(k.Pool), Region: string(k.Region), Source: source, Group: group, Rollout: name}
	keys := slices.SortedFunc(maps.Keys(e), func(x, y rollout.Key) int {
		return cmp.Or(cmp.Compare(x.Route, y.Route), cmp.Compare(x.Version, y.Version))
	})
	for _, key := range keys {
		if c := e[key]; key.Rollout == name && len(a.Items) < maxEvidence {
			a.Items = append(a.Items, EvidenceItem{string(key.Version), string(key.Route), c.Requests, c.Failures, c.Slow})
		}
	}
	return a
}

// Model returns the evidence.
func (a EvidenceArgs) Model() (summary.Key, rollout.Evidence, error) {
	k := summary.Key{Pool: model.Pool(a.Pool), Region: model.Region(a.Region)}
	if len(a.Items) > maxEvidence || max(len(a.Pool), len(a.Region), len(a.Source), len(a.Rollout)) > maxIDBytes || a.Source == "" {
		return k, nil, ErrMalformed
	}
	out := rollout.Evidence{}
	for _, it := range a.Items {
		if max(len(it.Version), len(it.Route)) > maxIDBytes || min(it.Requests, it.Failures, it.Slow) < 0 {
			return k, nil, ErrMalformed
		}
		key := rollout.Key{Rollout: a.Rollout, Version: model.Version(it.Version), Route: model.Route(it.Route)}
		out[key] = rollout.Counts{Requests: it.Requests, Failures: it.Failures, Slow: it.Slow}
	}
	return k, out, nil
}
