package router

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Guards against orders that a store reader sends with a gap, twice or in another
// order than the store's.
func TestOrderBatchesContinue(t *testing.T) {
	is := is.New(t)
	pack := func(s string) []byte {
		p, ok := packOrders([]byte(s))
		is.True(ok)
		return p
	}
	var list []orderBatch
	for i := range int64(6) {
		list = addBatch(list, orderBatch{from: i, to: i + 1, packed: pack(string(rune('a' + i)))})
	}
	got, err := unpackOrders(batchesSince(list, 3))
	is.NoErr(err)
	is.Equal(string(got), "def")
	is.Equal(len(list), maxOrderBatches)
	is.Equal(batchesSince(list, 0), nil) // no longer kept
	is.Equal(batchesSince(list, 6), nil) // nothing newer
	list = addBatch(list, orderBatch{from: 8, to: 9, packed: pack("z")})
	is.Equal(batchesSince(list, 5), nil) // orders 6 and 7 are missing
	is.Equal(len(batchesSince(list, 8)), 1)
}

// Guards against a peer whose compressed orders fill the memory, and against orders
// that take longer to transfer than a query may.
func TestOrdersOfPeersAreBounded(t *testing.T) {
	is := is.New(t)
	bomb, ok := packOrders(make([]byte, maxOrders))
	is.True(ok)
	_, err := unpackOrders([][]byte{bomb})
	is.NoErr(err)
	_, err = unpackOrders([][]byte{bomb, bomb})
	is.True(err != nil)
	_, err = unpackOrders([][]byte{[]byte("no deflate stream")})
	is.True(err != nil)
	random := make([]byte, 2*maxPackedOrders)
	for i := range random {
		random[i] = byte(rand.New(rand.NewPCG(1, uint64(i))).Uint32())
	}
	_, ok = packOrders(random)
	is.True(!ok)
	config := bytes.Repeat([]byte(`{"Name":"r-1","Host":"app.example","PathPrefix":"/a/"}`), 2000)
	packed, ok := packOrders(config)
	is.True(ok)
	is.True(len(packed) < len(config)/10)
}
