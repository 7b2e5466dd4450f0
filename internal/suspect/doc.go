// Package suspect finds requests that crash the endpoints that run them. A
// fingerprint that was in flight at two crashes is refused for a time.
package suspect
