package listener

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"
)

// BenchmarkCapacityBounds compares a request through a Listener with one to the HTTP server
// alone, on a kept connection.
func BenchmarkCapacityBounds(b *testing.B) {
	for _, bounded := range []bool{false, true} {
		b.Run(map[bool]string{false: "alone", true: "bounded"}[bounded], func(b *testing.B) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			srv := &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "answer")
			})}
			l, served := New(Config{Name: "benchmark", Quota: wide, Limits: generousLimits, Stall: time.Second, Log: slog.New(slog.DiscardHandler)}), inner
			if bounded {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go l.Run(ctx)
				srv, served = l.Protect(srv), l.Wrap(inner)
			}
			go func() { _ = srv.Serve(served) }()
			defer srv.Close()
			c, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			r := bufio.NewReader(c)
			request := []byte("POST /a/path HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: 1234\r\nX-Deadline: 4000\r\nAuthorization: Bearer key\r\nContent-Type: text/plain\r\nAccept: */*\r\nUser-Agent: benchmark\r\nContent-Length: 4\r\n\r\nbody")
			b.ReportAllocs()
			for b.Loop() {
				_, _ = c.Write(request)
				res, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, res.Body)
			}
		})
	}
}
