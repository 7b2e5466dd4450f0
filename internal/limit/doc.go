// Package limit applies the rate limit of a workspace's plan across all entries.
// The home entry of a workspace owns its token bucket; the other entries lease
// cost units from it, about a second of their recent use at a time. An entry
// that cannot reach the home entry applies a local share of the limit.
package limit
