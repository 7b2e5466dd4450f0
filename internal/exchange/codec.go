package exchange

import (
	"bufio"
	"crypto/subtle"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"
)

// Names of the first call on each connection.
const (
	helloService = "H"
	helloMethod  = "H.Hello"
)

// Hello is the first message on a connection.
type Hello struct{ Key string }

// HelloReply is the reply to a Hello with the shared key.
type HelloReply struct{}

type helloServer struct{}

// Hello accepts a peer, whose key the codec has checked.
func (*helloServer) Hello(Hello, *HelloReply) error { return nil }

// errUnauthenticated ends the connection of a peer whose first call does not
// carry the shared key.
var errUnauthenticated = eris.New("exchange: the first call does not carry the shared key")

// serverCodec is the gob codec of net/rpc with limits on messages and concurrent
// calls, timeouts and the check of the shared key.
type serverCodec struct {
	conn          net.Conn
	in            *messageReader
	dec           *gob.Decoder
	enc           *gob.Encoder
	out           *bufio.Writer
	key           string
	lastMethod    string        // method of the last call; empty before the first
	authenticated bool          // the peer has sent the shared key
	pending       chan struct{} // one token for each call in progress
}

func newServerCodec(conn net.Conn, key string) *serverCodec {
	in := newMessageReader(conn, maxHelloBytes)
	out := bufio.NewWriter(conn)
	return &serverCodec{
		conn: conn, in: in, dec: gob.NewDecoder(in), enc: gob.NewEncoder(out), out: out,
		key: key, pending: make(chan struct{}, maxPending),
	}
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	wait := idleTimeout
	if !c.authenticated {
		if c.lastMethod != "" {
			return errUnauthenticated
		}
		wait = helloTimeout
	}
	c.pending <- struct{}{}
	if err := c.conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	if err := c.dec.Decode(r); err != nil {
		return err
	}
	c.lastMethod = r.ServiceMethod
	if !c.authenticated && r.ServiceMethod != helloMethod {
		return errUnauthenticated
	}
	return c.conn.SetReadDeadline(time.Now().Add(helloTimeout))
}

func (c *serverCodec) ReadRequestBody(body any) error {
	if err := c.dec.Decode(body); err != nil || c.authenticated {
		return err
	}
	h, ok := body.(*Hello)
	c.authenticated = ok && subtle.ConstantTimeCompare([]byte(h.Key), []byte(c.key)) == 1
	if !c.authenticated {
		return errUnauthenticated
	}
	c.in.max = MaxMessageBytes
	return nil
}

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.pending }()
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return writeMessage(c.enc, c.out, r, body, c.conn)
}

// Close implements rpc.ServerCodec. The goroutine that reads the requests calls it.
func (c *serverCodec) Close() error {
	c.in.memory.Release()
	return c.conn.Close()
}

// writeMessage writes head and body as one segment. A failure leaves the gob stream
// incomplete, so the connection is closed.
func writeMessage(enc *gob.Encoder, out *bufio.Writer, head, body any, conn io.Closer) error {
	err := enc.Encode(head)
	if err == nil {
		err = enc.Encode(body)
	}
	if err == nil {
		err = out.Flush()
	}
	if err != nil {
		conn.Close()
	}
	return err
}

// clientCodec is the client's counterpart of serverCodec.
type clientCodec struct {
	conn net.Conn
	dec  *gob.Decoder
	enc  *gob.Encoder
	out  *bufio.Writer
}

func newClientCodec(conn net.Conn) *clientCodec {
	out := bufio.NewWriter(conn)
	return &clientCodec{conn: conn, dec: gob.NewDecoder(newMessageReader(conn, MaxMessageBytes)), enc: gob.NewEncoder(out), out: out}
}

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return writeMessage(c.enc, c.out, r, body, c.conn)
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.dec.Decode(r) }
func (c *clientCodec) ReadResponseBody(body any) error          { return c.dec.Decode(body) }
func (c *clientCodec) Close() error                             { return c.conn.Close() }
