// Package limit applies the rate limit of a workspace's plan over all entries.
// The home entry of a workspace keeps its bucket; the others borrow batches of
// cost units, sized by about a second of their recent use. An entry that cannot
// reach the home uses a local share.
package limit
