// Package choose orders the endpoints of a pool for a chat. Every entry that
// knows the same endpoints finds the same order without any shared table.
package choose

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Candidate is an endpoint that may serve a request.
type Candidate struct {
	ID        model.EndpointID
	Address   string
	Weight    float64 // share of chats relative to the others; > 0
	LoadRatio float64 // last known load over the mean; 0 if unknown
}

// Order returns the candidates in the weighted rendezvous order of key. The
// return token, if it names a candidate, moves that candidate to the front.
func Order(key, returnToken string, candidates []Candidate) []Candidate {
	type scored struct {
		Candidate
		score float64
	}
	list := make([]scored, 0, len(candidates))
	for _, c := range candidates {
		if c.Weight > 0 {
			list = append(list, scored{c, score(key, c)})
		}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
	})
	out := make([]Candidate, 0, len(list))
	for _, s := range list {
		if returnToken != "" && Token(s.ID) == returnToken {
			out = slices.Insert(out, 0, s.Candidate)
			continue
		}
		out = append(out, s.Candidate)
	}
	return out
}

// score is -weight/ln(u) for a hash u of key and candidate in (0, 1), which
// makes the share of keys won proportional to the weight.
func score(key string, c Candidate) float64 {
	h := xxhash.Sum64String(key + "\x00" + string(c.ID))
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -c.Weight / math.Log(u)
}

// Token returns the opaque return token of an endpoint.
func Token(id model.EndpointID) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String("return-token\x00"+string(id)))
}
