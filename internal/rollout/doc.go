// Package rollout decides about moves between versions: which chats belong to
// the new version, whether the evidence speaks against it, and when the move is
// done or taken back. It is pure; times and counts are passed in.
package rollout
