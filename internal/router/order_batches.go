package router

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxPackedOrders bounds the compressed orders of one read that a store reader
	// keeps for its peers. Routers read longer ones from the store themselves: 24
	// transfers of this size take 0.15 s on a link of 20 Mbit/s, less than
	// queryTimeout.
	maxPackedOrders = 16 << 10
	// maxOrders bounds orders when they are decompressed.
	maxOrders = 8 << 20
	// maxOrderBatches is the number of reads that are kept. Peers query the reader
	// four times a second.
	maxOrderBatches = 4
)

// orderBatch holds the orders that one read of the store returned.
type orderBatch struct {
	from, to int64  // positions before and after the orders
	packed   []byte // Orders.Records, compressed
}

// addBatch returns the batches extended by b. Batches that b does not continue are
// dropped.
func addBatch(list []orderBatch, b orderBatch) []orderBatch {
	if n := len(list); n > 0 && list[n-1].to != b.from {
		list = nil
	}
	list = append(slices.Clone(list), b)
	return list[max(0, len(list)-maxOrderBatches):]
}

// batchesSince returns the orders from a position to that of the last batch, or nil
// if the batches do not begin there.
func batchesSince(list []orderBatch, from int64) (packed [][]byte) {
	i := slices.IndexFunc(list, func(b orderBatch) bool { return b.from == from })
	if i < 0 {
		return nil
	}
	for _, b := range list[i:] {
		packed = append(packed, b.packed)
	}
	return packed
}

// packOrders compresses records. It returns false if the result is too long to send.
func packOrders(records []byte) ([]byte, bool) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, false
	}
	_, err = w.Write(records)
	if err != nil || w.Close() != nil || out.Len() > maxPackedOrders {
		return nil, false
	}
	return out.Bytes(), true
}

// unpackOrders returns the records of several compressed batches.
func unpackOrders(packed [][]byte) ([]byte, error) {
	var out []byte
	for _, p := range packed {
		r := flate.NewReader(bytes.NewReader(p))
		records, err := io.ReadAll(io.LimitReader(r, int64(maxOrders-len(out)+1)))
		if err != nil {
			return nil, eris.Wrap(err, "router: compressed orders")
		}
		if out = append(out, records...); len(out) > maxOrders {
			return nil, eris.Errorf("router: orders are longer than %d bytes", maxOrders)
		}
	}
	return out, nil
}

// orderRecords are orders that the store reader of a router sent.
type orderRecords struct {
	from, to int64
	packed   [][]byte      // empty if the reader does not have them
	sent     time.Duration // boot time at which the store was read, or earlier
}
