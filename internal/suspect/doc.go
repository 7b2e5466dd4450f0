// Package suspect detects requests that crash the endpoints on which they run. It
// identifies them by their fingerprint, the hash of workspace, route and body. A
// fingerprint that was in flight at one crash is quarantined, which delays its
// requests; one that was in flight at two crashes is refused for some time.
package suspect
