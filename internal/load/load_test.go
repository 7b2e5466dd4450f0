package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/settings"
	"github.com/goldcrestturn/goldcrestturn/internal/standin"
)

func newTestSettings(t *testing.T, address, extra string) Settings {
	t.Helper()
	f, err := settings.Parse("load.ini", []byte("[load]\nentries = "+address+"\nduration = 300ms\nrate = 100\nprogress = 0s\n[workspace studio]\nkey = k\n"+extra))
	is.New(t).NoErr(err)
	s, err := ReadSettings(f)
	is.New(t).NoErr(err)
	return s
}

// newFakeEntry starts a server that answers as an entry does and returns its
// address. tamper is called before each token, with the number n of the request.
// It may write events of its own, and the answer ends there if it returns true.
func newFakeEntry(t *testing.T, tamper func(w io.Writer, n int64, index int, token string) bool) string {
	t.Helper()
	var calls, runs atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := calls.Add(1)
		body, _ := io.ReadAll(r.Body)
		if route, ok := strings.CutPrefix(r.URL.Path, "/v1/services/tracker/"); ok {
			_ = json.NewEncoder(w).Encode(standin.RunResult{Route: route, Key: r.Header.Get("Idempotency-Key"), Run: runs.Add(1), Result: body})
			return
		}
		var req struct {
			MaxTokens int `json:"max_tokens"`
		}
		_ = json.Unmarshal(body, &req)
		from := 0
		if v := r.Header.Get("Last-Event-ID"); v != "" {
			_, _ = fmt.Sscan(v, &from)
			from++
		}
		for i := from; i < req.MaxTokens; i++ {
			token := standin.Token("studio\x00"+r.Header.Get("Chat-Id"), body, i)
			if tamper(w, n, i, token) {
				return
			}
			writeToken(w, i, token)
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func writeToken(w io.Writer, i int, token string) {
	fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", i, token)
}

// Guards against load on other machines.
func TestNonLoopbackTargetsAreRefused(t *testing.T) {
	is := is.New(t)
	f, err := settings.Parse("load.ini", []byte("[load]\nentries = 127.0.0.1:80, 192.0.2.1:80\n[workspace w]\nkey = k\n"))
	is.NoErr(err)
	_, err = ReadSettings(f)
	is.True(strings.Contains(fmt.Sprint(err), "192.0.2.1:80"))
	is.True(denyNonLoopback("tcp", "192.0.2.1:80", nil) != nil)
}

// Guards against a wrong or short answer that is counted as complete.
func TestWrongAndShortAnswersFailTheRun(t *testing.T) {
	for name, tamper := range map[string]func(w io.Writer, n int64, i int, token string) bool{
		"swapped": func(w io.Writer, _ int64, i int, _ string) bool {
			if i == 3 {
				writeToken(w, i, "other ")
			}
			return false
		},
		"short": func(w io.Writer, _ int64, i int, _ string) bool {
			if i == 3 {
				fmt.Fprint(w, "data: [DONE]\n\n")
			}
			return i == 3
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := Run(context.Background(), newTestSettings(t, newFakeEntry(t, tamper), ""), io.Discard)
			is.Equal(r.Verdicts["whole"], int64(0))
			is.True(r.Verdicts["wrong"] > 0)
			is.True(len(r.Failed) > 0)
		})
	}
}

// Guards against a truncated answer that is not resumed at its first missing
// token.
func TestTruncatedAnswersAreResumed(t *testing.T) {
	is := is.New(t)
	address := newFakeEntry(t, func(_ io.Writer, n int64, i int, _ string) bool { return n%2 == 1 && i%5 == 4 })
	s := newTestSettings(t, address, "[chats]\nattempts = 100\ntokens = 8\nreturn_soon = 10ms\n")
	s.Rate = 20
	r := Run(context.Background(), s, io.Discard)
	is.True(r.Resumed > 0)
	is.Equal(r.Verdicts["whole"], r.Calls)
	is.Equal(len(r.Failed), 0)
}

// Guards against a report that does not count a key which ran twice.
func TestDuplicatesFailTheRun(t *testing.T) {
	is := is.New(t)
	address := newFakeEntry(t, func(io.Writer, int64, int, string) bool { return false })
	r := Run(context.Background(), newTestSettings(t, address, "[services]\nshare = 1\nroutes = tracker/assign\nrepeat_share = 1\n"), io.Discard)
	is.True(r.Duplicates > 0)
	is.True(len(r.Failed) > 0)
	var text, doc bytes.Buffer
	is.NoErr(r.Write(&text, FormatText))
	is.True(strings.Contains(text.String(), "ran more than once"))
	is.NoErr(r.Write(&doc, FormatJSON))
	is.True(json.Valid(doc.Bytes()))
}

// Guards against surges and pauses that do not change the rate, and against
// chats that have no second turn.
func TestPlanFollowsTheSettings(t *testing.T) {
	is := is.New(t)
	s := newTestSettings(t, "127.0.0.1:1", "[surges]\nevery = 10s\nlength = 2s\npause = 2s\nfactor = 4\n[chats]\nreturn_soon = 100ms\nlate_share = 0\n")
	start := time.Unix(0, 0)
	p := newPlanner(s, start)
	var surge, paused, normal int
	for at := p.nextArrival(start); at.Sub(start) < 20*time.Second; at = p.nextArrival(at) {
		switch elapsed := at.Sub(start); {
		case elapsed >= 10*time.Second && elapsed < 12*time.Second:
			surge++
			is.Equal(p.pickWorkspace(at).Name, s.Workspaces[0].Name)
		case elapsed >= 12*time.Second && elapsed < 14*time.Second:
			paused++
		case elapsed < 2*time.Second:
			normal++
		}
	}
	is.True(surge > 2*normal)
	is.Equal(paused, 0)
	first := p.nextCall(start)
	p.scheduleReturn(chatResult{chat: first.chat, text: "x", returnToken: "t", complete: true}, start)
	second := plannedCall{}
	for range 1000 {
		if second = p.nextCall(start.Add(5 * time.Second)); second.call.Chat == first.call.Chat {
			break
		}
	}
	is.Equal(second.call.Chat, first.call.Chat)
	is.Equal(second.call.ReturnToken, "t")
	is.True(second.call.Cacheable > 0)
}
