// Package load generates load for entries on loopback addresses, checks the
// answers and reports the results. It is a pipeline of plan, send, receive and
// report: the planner owns the chats and makes calls, workers send them and
// receive the answers, and the reporter owns the counts.
package load
