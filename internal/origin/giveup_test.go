package origin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that reach an endpoint long after they were given up: their bytes are
// held up by a partition, and the kernel goes on sending them after the connection was closed
// rather than reset.
func TestGivenUpConnectionsAreReset(t *testing.T) {
	for name, giveUp := range map[string]func(c *Client, address string){
		"cancelled": func(c *Client, address string) {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_, _ = c.Do(ctx, address, request("silent", nil))
		},
		"timed out": func(c *Client, address string) {
			_, _ = c.Do(context.Background(), address, request("silent", func(r *Request) { r.ResponseHeaderTimeout = 50 * time.Millisecond }))
		},
		"cancelled in the body": func(c *Client, address string) {
			ctx, cancel := context.WithCancel(context.Background())
			res, err := c.Do(ctx, address, request("body", nil))
			cancel()
			if err == nil {
				_, _ = io.ReadAll(res.Body)
				res.Close()
			}
		},
		"closed in the body": func(c *Client, address string) {
			if res, err := c.Do(context.Background(), address, request("body", nil)); err == nil {
				res.Close()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			ended := make(chan error, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				r := bufio.NewReader(c)
				req, err := http.ReadRequest(r)
				if err == nil && req.Header.Get(idHeader) == "body" {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: body\r\nContent-Length: 100\r\n\r\npart")
				}
				_, err = r.ReadByte()
				ended <- err
			}()
			giveUp(NewClient(), l.Addr().String())
			is.True(errors.Is(<-ended, syscall.ECONNRESET))
		})
	}
}

// Guards against a reset where nothing was given up: an answer that ends with its connection,
// or whose endpoint closes the connection after it.
func TestConnectionsOfCompleteAnswersAreNotReset(t *testing.T) {
	for name, head := range map[string]string{"close": "Content-Length: 4\r\nConnection: close\r\n", "unframed": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan error, 1)
			address, _ := serve(t, func(c net.Conn, _ string) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n"+head+"\r\nbody")
				if head == "" {
					_ = c.(*net.TCPConn).CloseWrite()
				}
				_, err := c.Read(make([]byte, 1))
				ended <- err
				return false
			})
			body, err := do(NewClient(), address, request("a", nil))
			is.NoErr(err)
			is.Equal(body, "body")
			is.True(errors.Is(<-ended, io.EOF))
		})
	}
}
