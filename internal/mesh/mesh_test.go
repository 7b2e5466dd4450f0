package mesh

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/admission"
	"github.com/goldcrestturn/goldcrestturn/internal/place"
	"github.com/goldcrestturn/goldcrestturn/internal/slots"
)

// demand is in whole units of the encoding.
var demand = []admission.Report{
	{Pool: 9, Overloaded: true, Occupancy: 0.9375, Stretch: 1.5, Demand: [admission.Classes]float64{1: 2.5, 3: 2047.96875},
		HeavyPriority: 1, Heavy: []admission.Heavy{{Workspace: 1 << 31, Demand: 0.03125}}},
	{Pool: 10, Loaded: true},
}

// Guards against a datagram that decodes to another message than was encoded.
func TestMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, m := range []Message{
		{Name: "router-1", Loads: map[uint32]int{7: 3, 9: 65535}, Holders: []place.PartHolder{{Part: 1 << 60, Endpoint: 7}}},
		{Name: "router-2", Loads: map[uint32]int{}},
		{Name: "router-2", StatedLoads: map[uint32]int{7: 40}},
		{Name: "router-2", Limits: map[uint32]float64{7: 2.5, 8: 3276.75, 9: -1}},
		{Name: "router-2", WorkTimes: map[uint32]float64{7: 4, 8: 0.31, 9: 1}},
		{Name: "router-2", Crashes: []Crash{{Key: 1 << 60, Endpoint: 7, Age: 30 * time.Millisecond}}, Sound: []uint64{5, 6}},
		{Name: "router-2", Slots: &Slots{Pool: 9, Grant: &slots.Grant{Number: 1 << 31, Demand: 4, Credits: map[uint32]int{7: 2}, Gap: 336 * time.Millisecond, Cut: slots.Levels, Spare: 255, Queue: 100}}},
		{Name: "router-2", Slots: &Slots{Pool: 9, Demand: &slots.Demand{Number: 5, Applied: 4, Rejected: 3, Running: map[uint32]int{7: 255}, Levels: [slots.Levels]slots.Level{2: {Running: 255, Waiting: 65535}, 9: {Waiting: 1}}}}},
		{Name: "router-3", Leaving: true},
		{Name: "router-5", DataCentre: "dc-a", Address: netip.MustParseAddrPort("10.1.0.7:7340"), Relay: true},
		{Name: "router-4", HoldersKnown: true, WantHolders: true, CachesRead: []uint32{1, 2}},
		{Name: "router-6", Loads: map[uint32]int{7: 3}, Holders: []place.PartHolder{{Part: 5, Endpoint: 7}}, CachesRead: []uint32{1}, Demand: demand},
		{},
	} {
		got, err := Parse(Append(nil, m))
		is.NoErr(err)
		is.Equal(got, m)
	}
}

// Guards against a relayed message that is relayed again, without end, or that
// differs otherwise from the one that was sent.
func TestRelayedMessageIsNotRelayedAgain(t *testing.T) {
	is := is.New(t)
	m := Message{Name: "router-1", DataCentre: "dc-a", Address: netip.MustParseAddrPort("[::1]:7340"), Relay: true, Loads: map[uint32]int{7: 3}}
	got, err := Parse(Relayed(Append(nil, m)))
	is.NoErr(err)
	m.Relay = false
	is.Equal(got, m)
}

// Guards against crashes and sound properties that are left out of the datagrams of a message
// with many of them, and against datagrams above the smallest common MTU.
func TestMessagesWithManyPropertiesAreSplit(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{0, 1, MaxCrashes, MaxCrashes + 1, 4097} {
		m := Message{Name: "kauri-edge-17", DataCentre: "akl-a", Address: netip.MustParseAddrPort("10.1.0.7:7340"), Relay: true}
		for i := range n {
			m.Crashes = append(m.Crashes, Crash{Key: uint64(i), Endpoint: 7, Age: time.Second})
			m.Sound = append(m.Sound, uint64(n+i))
		}
		got := Message{Name: m.Name, DataCentre: m.DataCentre, Address: m.Address, Relay: true}
		datagrams := 0
		for part := range m.Split() {
			b := Append(nil, part)
			is.True(len(b) <= 1232)
			parsed, err := Parse(b)
			is.NoErr(err)
			got.Crashes, got.Sound = append(got.Crashes, parsed.Crashes...), append(got.Sound, parsed.Sound...)
			datagrams++
		}
		is.Equal(got, m)
		is.True(datagrams > 0)
	}
}

// Guards against messages about slots that take more of the bytes of a router than the
// rate of the home allows for: 100 a second of 110 bytes, 28 of them of UDP and IP.
func TestMessagesAboutSlotsAreSmall(t *testing.T) {
	credits := map[uint32]int{1: 2, 2: 2, 3: 2, 4: 2}
	m := Message{Name: "kauri-edge-17", DataCentre: "akl-a", Address: netip.MustParseAddrPort("10.1.0.7:7340")}
	m.Slots = &Slots{Grant: &slots.Grant{Credits: credits}}
	grant := len(Append(nil, m))
	m.Slots = &Slots{Demand: &slots.Demand{Running: credits, Levels: [slots.Levels]slots.Level{{Waiting: 1}, {Waiting: 1}}}}
	demand := len(Append(nil, m))
	t.Logf("grant %d, demand %d bytes", grant, demand)
	is.New(t).True(max(grant, demand)+28 <= 110)
}

// Guards against malformed datagrams, which any host can send, that make the
// decoder panic, and against messages that do not survive a second round trip.
func FuzzParse(f *testing.F) {
	f.Add(Append(nil, Message{Name: "router-1", Loads: map[uint32]int{7: 3}, Holders: []place.PartHolder{{Part: 5, Endpoint: 7}}}))
	f.Add(Append(nil, Message{Name: "router-1", Crashes: []Crash{{Key: 5, Endpoint: 7}}, Sound: []uint64{5}}))
	f.Add(Append(nil, Message{Name: "router-1", Loads: map[uint32]int{7: 3}, Demand: demand}))
	f.Add(Append(nil, Message{Name: "router-1", Slots: &Slots{Pool: 9, Grant: &slots.Grant{Number: 3, Demand: 4, Credits: map[uint32]int{7: 2}, Cut: 2}}}))
	f.Add(Append(nil, Message{Name: "router-1", Slots: &Slots{Pool: 9, Demand: &slots.Demand{Number: 5, Running: map[uint32]int{7: 1}, Levels: [slots.Levels]slots.Level{2: {Waiting: 4}}}}}))
	f.Add([]byte{magic, slotsVersion, 0, 0, 0, 0, 1, 2, 3})
	f.Add([]byte{magic, formatVersion, 0, 200})
	f.Add([]byte{magic, formatVersion, 0, 0, 0, 3, 1, 2, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Parse(b)
		if err != nil {
			return
		}
		if again, err := Parse(Append(nil, m)); err != nil || again.Name != m.Name || len(again.Demand) != len(m.Demand) {
			t.Errorf("parsed message does not survive encoding: %v", err)
		}
	})
}
