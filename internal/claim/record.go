package claim

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Kind is the kind of an item.
type Kind string

// The kinds of item.
const (
	KindEpoch  Kind = "epoch"  // Owner owns the partition for Pool from this position on
	KindClaim  Kind = "claim"  // Owner is about to run the request with Key
	KindVoid   Kind = "void"   // the request with Key must not run
	KindResult Kind = "result" // the request of Claim ended with Outcome

	kindIgnored Kind = "other" // replaces the kind of items that a reader skips
)

// Position identifies an item in a stream by the offset of its record and its
// index in the record.
type Position struct {
	Offset int64 `json:"o"`
	Index  int   `json:"i"`
}

// Item is one epoch, claim, void or result in a record.
type Item struct {
	Kind        Kind             `json:"kind"`
	ID          string           `json:"id,omitempty"` // unique, so that an owner recognises its own claims and epochs
	Pool        model.Pool       `json:"pool,omitempty"`
	Owner       model.EndpointID `json:"owner,omitempty"`
	Key         Key              `json:"key"`
	Epoch       int64            `json:"epoch,omitempty"` // of a claim: offset of the latest epoch record that its owner had read
	Fingerprint uint64           `json:"fp,omitempty"`
	Claim       Position         `json:"claim"` // of a result: position of its claim
	Outcome     model.Outcome    `json:"outcome,omitempty"`
	Answer      *Answer          `json:"answer,omitempty"`
}

// Answer is an answer that is stored with a result, to be repeated for duplicates.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Record is one record of a claims stream: the items of one group commit.
type Record struct {
	ID    string `json:"id"`
	Items []Item `json:"items"`
}

// MaxItems is the maximum number of items in one record.
const MaxItems = 256

// Decode decodes and validates a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if len(data) > logsvc.MaxRecordBytes {
		return Record{}, eris.New("claim: record is too large")
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, eris.Wrap(err, "claim: record is malformed")
	}
	if r.ID == "" || len(r.Items) == 0 || len(r.Items) > MaxItems {
		return Record{}, eris.New("claim: record lacks its id or has a wrong number of items")
	}
	for _, it := range r.Items {
		if err := it.check(); err != nil {
			return Record{}, err
		}
	}
	return r, nil
}

func (it Item) check() error {
	switch it.Kind {
	case KindEpoch:
		if it.Pool == "" || it.Owner == "" || it.ID == "" {
			return eris.New("claim: epoch lacks its id, pool or owner")
		}
	case KindClaim:
		if it.Pool == "" || it.Owner == "" || it.ID == "" || it.Epoch < 0 {
			return eris.New("claim: claim lacks its id, pool, owner or epoch")
		}
	case KindVoid:
	case KindResult:
		if it.Outcome != model.OutcomeNotRun && it.Outcome != model.OutcomeRan && it.Outcome != model.OutcomeUnknown {
			return eris.Errorf("claim: result has the outcome %q", it.Outcome)
		}
	default:
		return eris.Errorf("claim: item has the kind %q", it.Kind)
	}
	return nil
}

// Encode encodes r as the data of a log record.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, eris.Wrap(err, "claim: record cannot be encoded")
}
