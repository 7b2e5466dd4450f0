package main

import (
	"fmt"
	"os"
	"time"

	"github.com/goldcrestturn/goldcrestturn/platform/standin"
)

// scripts are the scripts by name. Each plays its case in a fleet.
var scripts = map[string]func(place) int{
	"gone": playGone, "grace": playGrace, "drill": playDrill, "torn": playTorn, "parts": playParts,
}

func self() string {
	path, err := os.Executable()
	if err != nil {
		cannotRun("own path: %v", err)
	}
	return path
}

// scriptTimeout bounds the time of a script, whose limit is 120 s.
const scriptTimeout = 110 * time.Second

func main() {
	if len(os.Args) == 3 && os.Args[1] == "endpoint" {
		os.Exit(runEndpoint(os.Args[2]))
	}
	if len(os.Args) != 4 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 SCRIPT FOLDER DIRECTORY")
		os.Exit(exitNotRun)
	}
	time.AfterFunc(scriptTimeout, func() { os.Exit(exitNotRun) })
	defer func() {
		fmt.Fprintln(os.Stderr, "cannot run:", recover())
		os.Exit(exitNotRun)
	}()
	os.Exit(scripts[os.Args[1]](place{os.Args[2], os.Args[3]}))
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
