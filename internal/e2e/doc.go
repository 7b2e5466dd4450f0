// Package e2e tests the path of requests through entries and sides from end to
// end, with stand-ins for the platform and the endpoints.
package e2e
