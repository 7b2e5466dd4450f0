// Package exchange carries the control messages between entries and sides: one
// persistent net/rpc connection with gob for each peer, a shared key checked in
// the first call, bounded messages, bytes counted at the connection and a byte
// budget.
//
// A further method is added with Node.Register before Serve and called with
// Node.Call. Its handler must turn the message into a typed event or question
// for the control loop; message types stay in this package.
package exchange
