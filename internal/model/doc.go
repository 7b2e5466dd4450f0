// Package model holds the types that every pipeline shares: identifiers,
// requests, answers, frames, refusals and stage times. It knows no wire format.
package model
