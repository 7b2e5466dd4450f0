// Package entry is the program to which callers send their requests: it
// identifies the caller, applies the limits of the workspace, chooses an endpoint,
// forwards the request to the endpoint's side and relays the answer.
//
// pipeline.go lists the filters of the traffic pipeline and the stages of the
// control pipeline.
package entry
