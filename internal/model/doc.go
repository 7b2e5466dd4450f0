// Package model holds the types that every pipeline shares: identifiers,
// requests, answers, frames, refusals and stage times. It is independent of the
// wire format.
package model
