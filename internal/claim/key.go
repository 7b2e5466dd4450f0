package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Partitions is the number of streams over which keys are distributed. It is far
// larger than the number of endpoints of one service, so that owners get similar
// shares.
const Partitions = 64

// Key identifies a non-idempotent request. It is a hash with enough bits to rule
// out collisions between workspaces.
type Key [16]byte

// KeyOf returns the key of req. It is derived from the idempotency key of the
// caller, or without one from the request id, which protects against duplicate
// runs by retries within the fleet.
func KeyOf(req *model.Request) Key {
	name := "k\x00" + req.IdempotencyKey
	if req.IdempotencyKey == "" {
		name = "r\x00" + string(req.ID)
	}
	sum := sha256.Sum256([]byte(string(req.Workspace) + "\x00" + string(req.Route) + "\x00" + name))
	return Key(sum[:16])
}

// Partition returns the partition of the key, from 0 to Partitions-1.
func (k Key) Partition() int { return int(k[0]) % Partitions }

// Stream returns the log stream of a partition.
func Stream(partition int) string { return fmt.Sprintf("claims-%02d", partition) }

// RendezvousKey returns the key for the rendezvous order in which entries try the
// endpoints as owners of a partition.
func RendezvousKey(partition int) string { return Stream(partition) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(k[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != len(k) {
		return eris.New("claim: key is not 16 bytes in hexadecimal")
	}
	copy(k[:], b)
	return nil
}
