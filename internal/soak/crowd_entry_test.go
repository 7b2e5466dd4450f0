package soak

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	quickstartKey = "quickstart-key" // API key of a workspace in examples/quickstart
	fleetKey      = "shared"         // of the processes of the fleet
	// entryBodyLimit is the default of max_body.
	entryBodyLimit = 2 << 20
)

// entryFleet is a fleet of an entry and a side with the stand-ins that they need.
type entryFleet struct {
	*fleet
	programs    map[string]string // paths by name
	entry, side *process
	addresses   map[string]string // by program and setting, as "entry/listen"
	platform    string
}

// buildEntryFleet builds the programs of a fleet and returns their paths by name.
func buildEntryFleet(t *testing.T) map[string]string {
	t.Helper()
	programs := map[string]string{}
	for _, name := range []string{"goldcrest-standin", "goldcrest-entry", "goldcrest-side", "goldcrestctl"} {
		programs[name] = buildProgram(t, name)
	}
	return programs
}

// startEntryFleet starts the fleet. The bounds of the entry and the side are those of a
// crowd.
func startEntryFleet(t *testing.T, programs map[string]string, memoryMB int) *entryFleet {
	t.Helper()
	f := &entryFleet{programs: programs, fleet: &fleet{t: t, dir: t.TempDir(), memoryMB: memoryMB, maxFDs: crowdMaxFDs}, addresses: map[string]string{}, platform: freePort(t)}
	engine := freePort(t)
	for _, kind := range []string{"entry", "side"} {
		for _, key := range []string{"listen", "admin", "control"} {
			f.addresses[kind+"/"+key] = freePort(t)
		}
	}
	shared := fmt.Sprintf("[platform]\nlog_service = http://%s\ninstance_list = http://%s\n[fleet]\nkey = %s\n", f.platform, f.platform, fleetKey)
	own := func(kind string) string {
		text := fmt.Sprintf("[%s]\ninstance = %s-1\ndata_centre = akl-1\nregion = akl\nmemory_mb = %d\nmax_fds = %d\n", kind, kind, f.memoryMB, f.maxFDs)
		for _, key := range []string{"listen", "admin", "control"} {
			text += key + " = " + f.addresses[kind+"/"+key] + "\n"
		}
		return text
	}
	listed := func(kind, rest string) string {
		return fmt.Sprintf("[instance %s-1]\ndata_centre = akl-1\naddress = %s\ncontrol = %s\nadmin = %s\n%s", kind, f.addresses[kind+"/listen"], f.addresses[kind+"/control"], f.addresses[kind+"/admin"], rest)
	}
	const pool = "kind = engine\npool = chat\nversion = v1\n"
	f.start("goldcrest-standin", "platform", "[standin]\nrole = platform\nlisten = "+f.platform+"\n"+
		listed("entry", "role = entry\n")+listed("side", "role = endpoint\n"+pool))
	f.start("goldcrest-standin", "engine", "[standin]\nrole = engine\nlisten = "+engine+"\n[engine]\nversion = v1\nslots = 64\n")
	f.side = f.start("goldcrest-side", "side", own("side")+pool+"endpoint = http://"+engine+"\n"+shared)
	f.entry = f.start("goldcrest-entry", "entry", own("entry")+shared)
	f.configure()
	if !f.answersChat() {
		t.Fatal("the fleet does not serve at the start")
	}
	return f
}

// start starts a program with the given settings.
func (f *entryFleet) start(program, name, settings string) *process {
	f.t.Helper()
	of := &fleet{t: f.t, dir: f.dir, binary: f.programs[program]}
	p := &process{fleet: of, name: name, settings: filepath.Join(f.dir, name+".ini")}
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
	var err error
	if p.log, err = os.Create(filepath.Join(f.dir, name+".log")); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { p.signal(syscall.SIGKILL, true); p.log.Close() })
	p.launch()
	return p
}

// configure applies the lists of the quick start.
func (f *entryFleet) configure() {
	f.t.Helper()
	settings := filepath.Join(f.dir, "ctl.ini")
	lists, _ := filepath.Abs("../../examples/quickstart")
	content := fmt.Sprintf("[ctl]\nlog_service = http://%s\ninstance_list = http://%s\nlists = %s\nauthor = soak\n", f.platform, f.platform, lists)
	if err := os.WriteFile(settings, []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
	var out []byte
	var err error
	for range 2 * ordinaryAttempts { // the platform may still be starting
		if out, err = exec.Command(f.programs["goldcrestctl"], "apply", "-settings", settings, "-timeout", "10s").CombinedOutput(); err == nil {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	f.t.Fatalf("the configuration cannot be applied: %v\n%s", err, out)
}

// answersChat sends an ordinary request like a caller who tries again on a new connection
// after a refusal, and reports whether it is answered.
func (f *entryFleet) answersChat() bool {
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 4 * ordinaryAttempts {
		req, _ := http.NewRequest(http.MethodPost, "http://"+f.addresses["entry/listen"]+"/v1/chat/completions", strings.NewReader(`{"messages":[{"role":"user","content":"ready?"}],"max_tokens":1}`))
		req.Header.Set("Authorization", "Bearer "+quickstartKey)
		if res, err := client.Do(req); err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	return false
}

// crowdEntryFleet runs a crowd against the entry or the side of a new fleet.
func crowdEntryFleet(t *testing.T, programs map[string]string, kind, listener string, sends ...func(net.Conn)) {
	t.Helper()
	memoryMB := crowdMemoryMB
	if listener != "listen" {
		memoryMB = narrowMemoryMB
	}
	f := startEntryFleet(t, programs, memoryMB)
	p, addresses := f.entry, []string{}
	if kind == "side" {
		p = f.side
	}
	for name, a := range f.addresses {
		if strings.HasPrefix(name, kind) {
			addresses = append(addresses, a)
		}
	}
	f.withstandCrowd(p, crowd{crowdConnections, sends, f.addresses[kind+"/"+listener]}, addresses, f.answersChat)
	f.failures = append(f.failures, p.fleet.failures...)
	f.report(1)
}

// Guards against callers that end an entry or a side by its memory, that of its sockets
// included.
func TestCrowdsOfEntriesAndSides(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	head := func(method, path string, fields ...string) string {
		return method + " " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(append(fields, ""), "\r\n")
	}
	const key, sharedKey = "Authorization: Bearer " + quickstartKey, "Goldcrest-Key: " + fleetKey
	programs, shapes := buildEntryFleet(t), bodyShapes(entryBodyLimit)
	for _, c := range []struct {
		kind, listener, place, head string
		all                         bool // bodies of all shapes
	}{
		{"entry", "listen", "chat", head("POST", "/v1/chat/completions", key), true},
		{"entry", "listen", "chat, no key", head("POST", "/v1/chat/completions"), false},
		{"entry", "listen", "service, no route", head("POST", "/v1/services/a/b", key), false},
		{"entry", "listen", "no path", head("POST", "/none"), false},
		{"entry", "admin", "check", head("GET", "/healthz"), false},
		{"entry", "control", "HTTP", head("POST", "/"), false},
		{"side", "listen", "run, no key", head("POST", "/side/run"), false},
		{"side", "listen", "run, key", head("POST", "/side/run", sharedKey), false},
		{"side", "listen", "cache, no key", head("PUT", "/side/kv/a"), false},
		{"side", "listen", "no path", head("POST", "/none"), false},
		{"side", "admin", "check", head("GET", "/healthz"), false},
		{"side", "control", "HTTP", head("POST", "/"), false},
	} {
		names := mainShapes
		if c.all {
			names = nil
			for name := range shapes {
				names = append(names, name)
			}
		}
		for _, name := range names {
			t.Run(c.kind+"/"+c.listener+"/"+c.place+"/"+name, func(t *testing.T) {
				crowdEntryFleet(t, programs, c.kind, c.listener, shapes[name].send(c.head))
			})
		}
	}
}

// Guards against bodies inside the limits that take many times their size once they are
// parsed.
func TestCrowdsOfCostlyBodies(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	programs := buildEntryFleet(t)
	list := func(item string) []byte {
		n := (entryBodyLimit-100)/(len(item)+1) - 1
		return []byte(`{"messages":[` + strings.Repeat(item+",", n) + item + `],"max_tokens":1}`)
	}
	nested := append(bytes.Repeat([]byte("["), entryBodyLimit/2), bytes.Repeat([]byte("]"), entryBodyLimit/2-100)...)
	for name, body := range map[string][]byte{
		"many short messages": list(`{}`), "one long message": list(`{"content":"` + strings.Repeat("x", entryBodyLimit-200) + `"}`),
		"escaped text": list(`{"content":"` + strings.Repeat(`\u0041`, (entryBodyLimit-200)/6) + `"}`), "deeply nested": nested,
	} {
		t.Run(name, func(t *testing.T) {
			s := shape{fmt.Sprint("Content-Length: ", len(body)), [][]byte{body}, 0}
			crowdEntryFleet(t, programs, "entry", "listen", s.send("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+quickstartKey+"\r\n"))
		})
	}
	// Entries send what they have read of their callers, and many of them may.
	message := []byte(`{"id":"a","route":"chat","pool":"chat","body":"` + strings.Repeat("A", entryBodyLimit*4/3))
	for name, framing := range map[string]string{"unfinished message, announced": fmt.Sprint("Content-Length: ", len(message)+2), "unfinished message, chunked": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			s := shape{framing, [][]byte{message}, 0}
			if strings.HasSuffix(framing, "chunked") {
				s.parts = [][]byte{fmt.Appendf(nil, "%x\r\n%s\r\n", len(message), message)}
			}
			crowdEntryFleet(t, programs, "side", "listen", s.send("POST /side/run HTTP/1.1\r\nHost: h\r\nGoldcrest-Key: "+fleetKey+"\r\n"))
		})
	}
}
