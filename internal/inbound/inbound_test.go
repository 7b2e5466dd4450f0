package inbound

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testLimits = Limits{HeaderBytes: 16384, Fields: 256, MinRate: 512, RateWindow: 10 * time.Second}

// fieldsOf returns fields of n bytes together, in count lines.
func fieldsOf(n, count int) string {
	short := strings.Repeat("a: b\r\n", count-1)
	return short + "c: " + strings.Repeat("d", n-len(short)-5) + "\r\n"
}

// Guards against the refusal of a head that has just the allowed size or number of fields,
// and against one byte or field more.
func TestHeadsUpToTheLimitsPass(t *testing.T) {
	for _, c := range []struct {
		size, fields int
		want         Bound
	}{
		{16384, 1, None}, {16384, 256, None}, {16385, 1, HeaderBytes}, {16384, 257, Fields},
	} {
		t.Run(fmt.Sprint(c.size, " bytes, ", c.fields, " fields"), func(t *testing.T) {
			is := is.New(t)
			var h Head
			got := h.Add([]byte("POST /a/long/path HTTP/1.1\r\n"+fieldsOf(c.size, c.fields)+"\r\nbody: not a field\r\n"), testLimits)
			is.Equal(got, c.want)
			is.Equal(h.Done(), c.want == None)
		})
	}
	is := is.New(t)
	var h Head
	is.Equal(h.Add([]byte("GET /"+strings.Repeat("x", 16385)), testLimits), HeaderBytes) // a request line without end
}

// Guards against a head that passes, ends elsewhere or costs less since it arrives in other
// pieces, and against bytes that are not counted.
func TestHeadsCountAlikeInAllPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"a: b\r\n", "\rc: d\n", "e:\n", "f\r: \rg\r\n"}), 0, 40).Draw(t, "lines")
		end := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "end")
		fields := strings.Join(lines, "")
		text := "GET / HTTP/1.1\r\n" + fields + end + "next: request\r\n\r\n"
		var h Head
		for rest := text; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			is.Equal(h.Add([]byte(rest[:n]), testLimits), None)
			rest = rest[n:]
		}
		is.True(h.Done())
		is.Equal(h.Cost(), HeadCost(int64(len(fields)), int64(len(lines))))
	})
}

// Guards against more descriptors than the process may have, and against a reserve that
// callers can use up, on all machines of the deployments.
func TestDescriptorsAreNotGivenTwice(t *testing.T) {
	is := is.New(t)
	for _, fds := range []int64{384, 512, 2870, 4100, 8192} {
		d := Divide(136<<20, fds)
		surplus := d.Callers.Descriptors / 16 // connections that are refused with a response
		sum := d.Callers.Descriptors + surplus + d.Readiness.Descriptors + d.Metrics.Descriptors + d.Peers.Descriptors + storeDescriptors + fileDescriptors
		is.True(sum <= fds)
		is.True(d.Callers.Descriptors > 0)
		is.True(d.Callers.Bytes+d.Bodies <= 136<<19) // the soft limit of the heap
	}
	// A legal caller holds up to some thousand connections.
	is.True(Divide(136<<20, 2870).Callers.Descriptors >= 1500)
	is.True(Divide(136<<20, 2870).Callers.Bytes >= 1500*ConnectionBytes)
}

func address(n byte) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, n}) }

// Guards against the loss of requests that have been read, or of progressing ones while
// others hold the same without progress.
func TestConnectionsWithoutProgressGoFirst(t *testing.T) {
	is := is.New(t)
	views := []View{
		0: {Address: address(1), Phase: Serving, Still: time.Hour, Held: 100},
		1: {Address: address(1), Phase: Idle, Still: 3 * time.Second, Held: 10},
		2: {Address: address(2), Phase: Idle, Still: 9 * time.Second, Held: 10},
		3: {Address: address(1), Phase: Receiving, Still: 2 * time.Second, Held: 50},
		4: {Address: address(1), Phase: Reading, Still: time.Millisecond, Held: 20},
		5: {Address: address(1), Phase: Opening, Still: 2 * time.Second, Held: 10},
		6: {Address: address(2), Phase: Serving, Unread: true, Still: 5 * time.Second, Held: 30},
		7: {Address: address(2), Phase: Receiving, Still: time.Millisecond, Held: 30},
		8: {Address: address(2), Phase: Opening, Still: time.Millisecond, Held: 10},
		9: {Address: address(2), Phase: Ending, Still: time.Hour, Held: 10},
		// A byte now and then is no progress.
		10: {Address: address(2), Phase: Receiving, Slow: true, Still: time.Millisecond, Held: 10},
	}
	is.Equal(Reclaim(views, 100, 0, time.Second), []int{3, 6, 10, 5, 1, 4, 2})
	is.Equal(Reclaim(views, 2, 0, time.Second), []int{3, 6})
	is.Equal(Reclaim(views, 0, 60, time.Second), []int{3, 6})
	is.Equal(len(Reclaim(views, 0, 0, time.Second)), 0)
}

// Guards against a share that ends requests of callers behind one address, such as a load
// balancer, since there are many of them.
func TestOneAddressIsNeverAboveItsShare(t *testing.T) {
	is := is.New(t)
	var views []View
	for range 1000 {
		views = append(views, View{Address: address(1), Phase: Receiving, Still: 100 * time.Millisecond, Held: 1 << 20})
	}
	is.Equal(len(Reclaim(views, 1, 1<<20, time.Second)), 0)
	views = append(views, View{Address: address(2), Phase: Receiving, Still: 100 * time.Millisecond, Held: 1 << 20})
	got := Reclaim(views, 10, 0, time.Second)
	is.Equal(len(got), 10)
	is.True(!slices.Contains(got, 1000))
}

// Guards against a rate that ends transfers of callers on a link of 10 Mbit/s that many
// others use too, or that counts the time in which the process does not wait for them.
func TestOnlySlowTransfersEnd(t *testing.T) {
	is := is.New(t)
	const tick = 250 * time.Millisecond
	ends := func(waiting func(int) bool, bytes func(int) int64) bool {
		var p Pace
		for i := range 400 {
			if p.Observe(waiting(i), tick, bytes(i), testLimits) {
				return true
			}
		}
		return false
	}
	always := func(int) bool { return true }
	const linkBytes, transfers = 10_000_000 / 8, 1000
	is.True(!ends(always, func(int) int64 { return linkBytes / transfers / 4 }))
	is.True(ends(always, func(int) int64 { return 10 }))
	is.True(ends(always, func(i int) int64 { return int64(i % 40 / 39) })) // a byte now and then
	is.True(!ends(func(i int) bool { return i%30 != 0 }, func(int) int64 { return 0 }))
}
