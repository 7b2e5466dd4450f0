// Package inbound decides what callers may hold of a process: connections, descriptors,
// and the memory of connections and request heads. Bodies and answers are counted by
// package memory, whose part of the process's memory Divide states too.
package inbound

import "time"

// Quota is what the connections of one listener may hold together.
type Quota struct {
	Descriptors int64 // connections, and one more for each request in progress
	Bytes       int64 // of connections, heads and requests in progress
}

// Division is how the memory and the descriptors of a process are divided. What callers
// hold never takes away what the other listeners may hold.
type Division struct {
	Callers, Readiness, Metrics, Peers Quota
	Bodies                             int64 // bytes of bodies and answers of callers' requests
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
	// headCopies is how often the text of a head is held: as it is read and as it is parsed.
	headCopies = 2
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

// Shares of the memory of the process. The soft limit of the heap is half of the memory,
// and its other half takes garbage and the program itself.
const (
	callerShare = 0.25
	bodyShare   = 0.25
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
		Callers:   Quota{Descriptors: left - left/8, Bytes: int64(callerShare * float64(memory))},
		Readiness: smallQuota(readiness),
		Metrics:   smallQuota(metrics),
		Peers:     smallQuota(peers),
		Bodies:    int64(bodyShare * float64(memory)),
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
	return Quota{Descriptors: d.Callers.Descriptors, Bytes: d.Callers.Bytes + d.Bodies}
}
