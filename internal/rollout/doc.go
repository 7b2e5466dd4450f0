// Package rollout controls the rollout of a new version: which chats belong to
// it, whether the evidence shows a regression, and when the rollout is done or
// rolled back. It has no side effects; times and counts are passed in.
package rollout
