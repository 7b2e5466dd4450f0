// Package suspect detects requests that crash the endpoints on which they run. A
// fingerprint that was in flight at two crashes is refused for some time.
package suspect
