package exchange

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// ConfigService is the name of the service that answers fetches of configuration.
// Both entries and sides serve it, so that a record that only a side has read
// reaches the other processes during a log outage.
const (
	ConfigService = "C"
	MethodFetch   = "C.Fetch"
)

// FetchArgs is the message form of config.FetchRequest.
type FetchArgs struct {
	Want    int
	From    int64
	After   string
	KeyHash string
	Address string // control address of the sender, whose configuration may be newer than the receiver's
}

// FetchReply is the message form of config.FetchReply.
type FetchReply struct {
	Offset        int64
	ID            string
	SnapshotAgeMS int64 // -1 if unknown; clocks are not compared
	Entries       []FetchedRecord
	Core          []byte // compressed JSON of lists.Lists
	Page          []byte // compressed JSON of []config.NamedWorkspace
	Last          bool
}

// FetchedRecord is one accepted record.
type FetchedRecord struct {
	Offset int64
	AtMS   int64
	Data   []byte // as in the log
}

// maxFetched bounds the number of records in one reply.
const maxFetched = 1024

// Size returns the number of bytes in the large fields of r.
func (r FetchReply) Size() int {
	n := len(r.Core) + len(r.Page)
	for _, e := range r.Entries {
		n += len(e.Data)
	}
	return n
}

// FromFetchRequest returns the message form of req, sent from address.
func FromFetchRequest(req config.FetchRequest, address string) FetchArgs {
	return FetchArgs{Want: int(req.Want), From: req.From, After: string(req.After), KeyHash: req.KeyHash, Address: address}
}

// Model returns the request that a encodes.
func (a FetchArgs) Model() (config.FetchRequest, error) {
	if len(a.After) > maxIDBytes || len(a.KeyHash) > maxIDBytes || len(a.Address) > maxIDBytes {
		return config.FetchRequest{}, ErrMalformed
	}
	return config.FetchRequest{Want: config.Want(a.Want), From: a.From, After: model.Workspace(a.After), KeyHash: a.KeyHash}, nil
}

// FromFetchReply returns the message form of r at now.
func FromFetchReply(r config.FetchReply, now time.Time) (FetchReply, error) {
	out := FetchReply{Offset: r.Offset, SnapshotAgeMS: -1, ID: r.ID, Last: r.Last}
	if !r.SnapshotAt.IsZero() {
		out.SnapshotAgeMS = max(0, now.Sub(r.SnapshotAt).Milliseconds())
	}
	for _, e := range r.Entries {
		data, err := e.Record.Encode()
		if err != nil {
			return FetchReply{}, err
		}
		out.Entries = append(out.Entries, FetchedRecord{Offset: e.Offset, AtMS: e.At.UnixMilli(), Data: data})
	}
	var err error
	if r.Core != nil {
		out.Core, err = compressJSON(r.Core)
	}
	if err == nil && len(r.Page) > 0 {
		out.Page, err = compressJSON(r.Page)
	}
	return out, err
}

// Model returns the reply that r encodes, received at now.
func (r FetchReply) Model(now time.Time) (config.FetchReply, error) {
	if len(r.Entries) > maxFetched {
		return config.FetchReply{}, ErrMalformed
	}
	out := config.FetchReply{Offset: r.Offset, ID: r.ID, Last: r.Last}
	if r.SnapshotAgeMS >= 0 {
		out.SnapshotAt = now.Add(-time.Duration(r.SnapshotAgeMS) * time.Millisecond)
	}
	for _, e := range r.Entries {
		rec, err := config.Decode(e.Data)
		if err != nil {
			return config.FetchReply{}, err
		}
		out.Entries = append(out.Entries, config.LogEntry{Offset: e.Offset, At: time.UnixMilli(e.AtMS), Record: rec})
	}
	if len(r.Core) > 0 {
		out.Core = &lists.Lists{}
		if err := decompressJSON(r.Core, out.Core); err != nil {
			return config.FetchReply{}, err
		}
	}
	if len(r.Page) > 0 {
		if err := decompressJSON(r.Page, &out.Page); err != nil {
			return config.FetchReply{}, err
		}
	}
	return out, nil
}

func compressJSON(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "exchange: configuration cannot be encoded")
	}
	return config.Compress(data)
}

func decompressJSON(data []byte, v any) error {
	plain, err := config.Decompress(data)
	if err != nil {
		return err
	}
	return eris.Wrap(json.Unmarshal(plain, v), "exchange: configuration is malformed")
}
