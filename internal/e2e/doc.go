// Package e2e tests the whole path through entry and side processes, with the
// stand-ins in place of the platform and the endpoints.
package e2e
