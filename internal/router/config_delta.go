package router

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

const (
	// maxDeltaBytes bounds the compressed configurations that a store reader sends with
	// the reply to a query: 24 transfers of this size take 0.15 s on a link of
	// 20 Mbit/s, less than queryTimeout. Routers read longer ones from the store
	// themselves, or ask the reader for the whole configuration if the store rejects
	// them.
	maxDeltaBytes = 16 << 10
	// maxConfigBytes bounds a configuration when it is decompressed.
	maxConfigBytes = 8 << 20
	// maxConfigDeltas is the number of changes of the configuration that are kept.
	// Peers query the reader four times a second.
	maxConfigDeltas = 4
	// configWindow is the window of the compression. It covers a configuration of
	// 2,000 routes.
	configWindow = 1 << 20
	// configDictionary is the id under which zstd knows the base of a delta.
	configDictionary = 1
)

// ConfigDelta is a configuration as the store holds it, compressed with the one before
// it as dictionary. Operators write the configuration whole, but mostly change a few
// fields, so its delta has a few hundred bytes. net/rpc writes it with gob, so the
// names of its fields are part of the protocol.
type ConfigDelta struct {
	Base, Hash uint64 // of the encoded configuration before and after; Base is 0 if there is none
	Data       []byte
}

// configHash returns the hash of an encoded configuration, or 0 if it is empty.
func configHash(config []byte) uint64 {
	if len(config) == 0 {
		return 0
	}
	return xxhash.Sum64(config)
}

// newConfigDelta returns the delta from base to config. base is empty for the whole
// configuration.
func newConfigDelta(base, config []byte) (ConfigDelta, error) {
	d := ConfigDelta{Base: configHash(base), Hash: configHash(config)}
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(configWindow)}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(configDictionary, base))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return d, eris.Wrap(err, "router: configuration cannot be compressed")
	}
	d.Data = w.EncodeAll(config, nil)
	return d, eris.Wrap(w.Close(), "router: configuration cannot be compressed")
}

// apply returns the configuration after d. base is the one before it.
func (d ConfigDelta) apply(base []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxConfigBytes)}
	if d.Base != 0 {
		if configHash(base) != d.Base {
			return nil, eris.New("router: compressed configuration has another base")
		}
		options = append(options, zstd.WithDecoderDictRaw(configDictionary, base))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "router: compressed configuration")
	}
	defer r.Close()
	config, err := r.DecodeAll(d.Data, nil)
	if err != nil {
		return nil, eris.Wrap(err, "router: compressed configuration")
	}
	if configHash(config) != d.Hash {
		return nil, eris.New("router: compressed configuration is damaged")
	}
	return config, nil
}

// addDelta returns the deltas extended by d. Deltas that d does not continue are
// dropped.
func addDelta(list []ConfigDelta, d ConfigDelta) []ConfigDelta {
	if n := len(list); n > 0 && list[n-1].Hash != d.Base {
		list = nil
	}
	list = append(slices.Clone(list), d)
	return list[max(0, len(list)-maxConfigDeltas):]
}

// deltasSince returns the deltas after the configuration with the given hash, or nil if
// they do not reach back to it or have more than maxDeltaBytes.
func deltasSince(list []ConfigDelta, hash uint64) []ConfigDelta {
	i := slices.IndexFunc(list, func(d ConfigDelta) bool { return d.Base == hash })
	if i < 0 {
		return nil
	}
	size := 0
	for _, d := range list[i:] {
		size += len(d.Data)
	}
	if size > maxDeltaBytes {
		return nil
	}
	return list[i:]
}

// offeredOrders is the state of the orders at a position, as the store reader of a
// router sent it.
type offeredOrders struct {
	position  Position
	config    uint64        // hash of the encoded configuration
	deltas    []ConfigDelta // that lead to it; empty if the reader does not have them or the router has it
	evacuated []model.DataCentre
	rollouts  map[model.Pool]model.Version
	windows   map[model.Pool]time.Duration // of rollouts
	sent      time.Duration                // boot time at which the store was read, or earlier
}
