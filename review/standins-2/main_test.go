//go:build review2

package main

import (
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// Child processes end with the thread that started them, so that is the main one.
func init() { runtime.LockOSThread() }

// scripts are the scripts by name. Each plays its case in a fleet whose record lies in folder.
var scripts = map[string]func(folder string) int{
	"gone": playGone, "grace": playGrace, "drill": playDrill, "torn": playTorn, "parts": playParts,
}

func self() string {
	path, err := os.Executable()
	if err != nil {
		cannotRun("own path: %v", err)
	}
	return path
}

// TestMain takes the place of main: only test files may start processes and sleep.
func TestMain(*testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "endpoint" {
		os.Exit(runEndpoint(os.Args[2:]))
	}
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 SCRIPT FOLDER")
		os.Exit(exitNotRun)
	}
	defer func() {
		fmt.Fprintln(os.Stderr, "cannot run:", recover())
		os.Exit(exitNotRun)
	}()
	os.Exit(scripts[os.Args[1]](os.Args[2]))
}

// routes is a small configuration: two pools and routes of all kinds.
func routes(version int, keys ...string) map[string]any {
	return standin.Config(version, []standin.Route{
		{Name: "draft", Path: "/stream/draft/", Type: "stream", Pool: "goldcrest-pool", Timeout: 10 * time.Second, LatencyTarget: 400 * time.Millisecond, Attempts: 2, Resumable: true},
		{Name: "digest", Path: "/stream/digest/", Type: "stream", Pool: "goldcrest-pool", Timeout: 12 * time.Second, LatencyTarget: time.Second, Attempts: 1},
		{Name: "assign", Path: "/assign/", Type: "unsafe", Pool: "tracker-api", Timeout: 1200 * time.Millisecond, LatencyTarget: 150 * time.Millisecond, Attempts: 1},
		{Name: "read", Path: "/read/", Type: "safe", Pool: "tracker-api", Timeout: 1200 * time.Millisecond, LatencyTarget: 150 * time.Millisecond, Attempts: 2},
	}, map[string][]string{"studio": keys})
}
