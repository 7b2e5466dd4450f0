// Package side is the program beside every endpoint instance. All work for the
// endpoint passes through it, so it knows the exact load, admits or refuses
// requests, runs them and frames the answers.
//
// pipeline.go lists the filters of the traffic pipeline and the stages of the
// control pipeline.
package side
