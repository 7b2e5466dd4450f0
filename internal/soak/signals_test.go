package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// Guards against a router that SIGHUP ends because it has not read its settings yet. The
// settings file is a pipe, so the process waits for it.
func TestHangupBeforeTheSettingsAreRead(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	path := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(buildRouter(t), "-settings", path, "-check")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	defer func() { _ = cmd.Process.Kill() }()
	opened := make(chan *os.File, 1)
	go func() {
		if f, err := os.OpenFile(path, os.O_WRONLY, 0); err == nil { // once the process reads
			opened <- f
		}
	}()
	settings := <-opened
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-exited:
		t.Fatalf("SIGHUP ended the process: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	_ = settings.Close()
	<-exited
}

// Guards against a router that ends with SIGPIPE because nobody reads its log any more.
func TestOutputWhoseReaderIsGone(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f := newFleet(t, buildRouter(t), 0, 1, 0)
	reader, out, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	f.addRouter(0, out)
	_ = out.Close()
	if !f.awaitReady(recoveryTimeout) {
		t.Fatal("the router is not ready at the start")
	}
	_ = reader.Close()
	p := f.routers[0]
	for i := range 5 { // each reload is logged
		settings, err := os.OpenFile(p.settings, os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(settings, "# change %d\n", i)
		_ = settings.Close()
		p.signal(syscall.SIGHUP, false)
		time.Sleep(200 * time.Millisecond)
	}
	if !p.isReady() {
		t.Error("the router is not ready")
	}
	f.report(1)
}

// Guards against ports of restarted processes that another connection has taken meanwhile.
func TestFreePortsAreNotGivenToConnections(t *testing.T) {
	for range 100 {
		_, port, _ := net.SplitHostPort(freePort(t))
		if n, _ := strconv.Atoi(port); n >= ephemeralPort() {
			t.Fatalf("the kernel may give port %d to a connection", n)
		}
	}
}
