// Package side is the sidecar proxy beside every endpoint instance. All work for
// the endpoint passes through it, so it knows the exact load. It admits or refuses
// requests, runs them on the endpoint and splits the answers into frames.
//
// pipeline.go lists the filters of the traffic pipeline and the stages of the
// control pipeline.
package side
