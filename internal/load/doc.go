// Package load sends callers' load to entries on loopback and reports what
// came back. It is a pipeline of plan, send, receive and report: plan owns the
// chats and yields calls, workers send them and receive the answers, report
// owns the counts.
package load
