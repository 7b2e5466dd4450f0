// Package inbound decides what callers may hold of a process: connections, descriptors,
// and the memory of connections and request heads. Bodies and answers are counted by
// package memory, whose part of the process's memory Divide states too.
package inbound

import (
	"cmp"
	"time"
)

// Quota is what the connections of one listener may hold together.
type Quota struct {
	Descriptors int64 // connections, and one more for each request in progress
	Bytes       int64 // of connections, heads and requests in progress
	// Buffers is what the kernel may hold in the receive buffers of the connections, in
	// bytes; 0 means one small buffer for each descriptor. The heap has no part in it.
	Buffers int64
}

// Receive buffers of connections in bytes. The kernel allows the double of what is set and
// holds no more than that, its own overhead included.
const (
	// SmallBuffer is the one that a connection has from its first byte on. A head of the
	// usual size fits into it.
	SmallBuffer = 4 << 10
	// LargeBuffer is the one of a body that has begun to arrive. It is above what a link of
	// 100 Mbit/s carries in a round trip of 4 ms.
	LargeBuffer = 64 << 10
	// EndpointBuffer is the one of a connection to an endpoint. It fills when a caller does
	// not take its response.
	EndpointBuffer = 8 << 10
	// LargeAfter is the part of a body that arrives before its buffer is enlarged, so that
	// nobody holds a large one by announcing a body.
	LargeAfter = 16 << 10
)

// BufferCost returns what the kernel may hold in a receive buffer that is set to size.
func BufferCost(size int64) int64 { return 2 * size }

// BufferLimit returns the bound on all receive buffers.
func (q Quota) BufferLimit() int64 {
	return cmp.Or(q.Buffers, q.Descriptors*BufferCost(SmallBuffer))
}

// ArrivingLimit returns the bound on what heads hold that have not arrived completely. It is
// a part of Bytes: buffers that grow with long lines leave as much garbage, which the
// collector must keep up with.
func (q Quota) ArrivingLimit() int64 { return q.Bytes / 4 }

// LargeLimit returns the bound up to which buffers are enlarged. What is above it is left to
// connections that send little.
func (q Quota) LargeLimit() int64 { return q.BufferLimit() / 2 }

// Division is how the memory and the descriptors of a process are divided. What callers
// hold never takes away what the other listeners may hold.
type Division struct {
	Callers, Readiness, Metrics, Peers Quota
	Bodies                             int64 // bytes of bodies and answers of callers' requests
	PeerMessages                       int64 // bytes of messages of peers
}

// Costs in bytes. Measured on go1.26 with net/http: an idle connection holds its
// goroutine's stack, two buffers of 4 KB and the connection itself; a request in progress
// holds a larger stack, the context and the first memory.FreeBytes of its body.
const (
	ConnectionBytes = 12 << 10
	RequestBytes    = 16 << 10
	// fieldBytes is the cost of one parsed field beside its text: the entry of the map, the
	// list of values and their string headers, in the three copies that a request that is
	// sent to an endpoint has.
	fieldBytes = 320
	// headCopies is how often the text of a head is held: as it is parsed, twice in a buffer
	// that grows with a long line, and as it was parsed.
	headCopies = 4
)

// HeadCost returns what a head of n bytes with the given number of fields costs once it is
// parsed.
func HeadCost(n, fields int64) int64 { return headCopies*n + fieldBytes*fields }

// Parts of the descriptors.
const (
	fileDescriptors  = 200 // for files
	storeDescriptors = 32  // reads of the store, listening sockets and datagrams
	maxReadiness     = 64  // the load balancer keeps a few connections
	maxMetrics       = 16
	maxPeers         = 2048 // at the target size an entry or a side may hear all others
	minReserve       = 4    // of each of these on a small machine
)

// Shares of the memory of the process. HeapShare is the soft limit of the heap; what is left
// takes the program itself, the buffers of the other listeners and what the heap exceeds its
// limit by for a moment.
const (
	HeapShare   = 0.5
	callerShare = 0.25
	bodyShare   = 0.25
	bufferShare = 0.125
	// peerShare is for the messages of peers that are longer than memory.FreeBytes, which few
	// are.
	peerShare = 0.0625
)

// Divide divides the memory in bytes and the descriptors of a process.
func Divide(memory, descriptors int64) Division {
	left := max(0, descriptors-fileDescriptors)
	readiness := min(maxReadiness, max(minReserve, left/16))
	metrics := min(maxMetrics, max(minReserve, left/32))
	peers := min(maxPeers, max(minReserve, left/8))
	left = max(minReserve, left-readiness-metrics-peers-storeDescriptors)
	return Division{
		// An eighth is left to idle connections to endpoints.
		Callers:   Quota{Descriptors: left - left/8, Bytes: int64(callerShare * float64(memory)), Buffers: int64(bufferShare * float64(memory))},
		Readiness: smallQuota(readiness),
		Metrics:   smallQuota(metrics),
		Peers:     smallQuota(peers),
		Bodies:    int64(bodyShare * float64(memory)),

		PeerMessages: int64(peerShare * float64(memory)),
	}
}

// smallQuota is the quota of a listener whose requests have short heads and no bodies.
func smallQuota(descriptors int64) Quota {
	const head = 16 << 10
	return Quota{Descriptors: descriptors, Bytes: descriptors * (ConnectionBytes + RequestBytes + head)}
}

// CheckStall is the time without progress after which a connection for checks or metrics
// is given up if others need its descriptor.
const CheckStall = 250 * time.Millisecond

// CheckLimits returns the limits of connections for checks and metrics, whose requests
// have a few fields and no body.
func CheckLimits() Limits {
	return Limits{HeaderBytes: 8 << 10, Fields: 64, HeaderTime: 3 * time.Second, IdleTime: 2 * time.Minute, MinRate: 512, RateWindow: 10 * time.Second}
}

// WithBodies is the quota of callers that also counts bodies.
func (d Division) WithBodies() Quota {
	q := d.Callers
	q.Bytes += d.Bodies
	return q
}
