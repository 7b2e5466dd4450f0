// Package exchange is the control exchange between entries and sides: one
// persistent net/rpc connection with gob encoding for each peer, a shared key
// that is checked in the first call, bounded messages, bytes counted at the
// connections and a byte budget.
//
// To add a method, register its service with Node.Register before Serve and
// call it with Node.Call. The handler must turn the message into a typed event
// or question for the control loop; message types stay in this package.
package exchange
