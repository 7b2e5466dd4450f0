// Package admission decides which requests a router admits while a pool is overloaded.
//
// All routers derive one threshold for each pool from the demand that each of them reports
// to the others and from the slots of the pool: more urgent requests are admitted whole,
// less urgent ones as far as capacity is left. Each router bounds the requests that it has
// in flight by its share of that capacity. The package is pure: times and random numbers
// are arguments, and messages are encoded elsewhere.
package admission
