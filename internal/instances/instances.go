// Package instances is the client of the platform's instance list, which lags
// seconds behind the actual state, and defines its published HTTP format.
package instances

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Role is what an instance runs.
type Role string

// The roles of instances.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// Status is the state of an instance according to the platform.
type Status string

// The states of an instance in the list.
const (
	Live    Status = "live"
	Leaving Status = "leaving"
	Gone    Status = "gone"
)

// Instance is one item of the list.
type Instance struct {
	ID         model.InstanceID   `json:"id"`
	Role       Role               `json:"role"`
	Kind       model.EndpointKind `json:"kind,omitempty"`
	Pool       model.Pool         `json:"pool,omitempty"`
	Version    model.Version      `json:"version,omitempty"`
	DataCentre model.DataCentre   `json:"data_centre"`
	Address    string             `json:"address"`         // traffic address of the entry or side
	Control    string             `json:"control"`         // control exchange address of the process
	Admin      string             `json:"admin,omitempty"` // metrics and status address
	Status     Status             `json:"status"`
}

// Changes is the answer to a read of the list: every instance that changed after
// the requested sequence number.
type Changes struct {
	Seq       int64      `json:"seq"`
	Instances []Instance `json:"instances"`
}

// List is the part of the instance list that the fleet uses.
type List interface {
	// Since returns the changes after seq. If there are none, it waits up to wait
	// for one.
	Since(ctx context.Context, seq int64, wait time.Duration) (Changes, error)
}

// maxListBytes bounds the size of the answer to one read.
const maxListBytes = 16 << 20

// Client is an HTTP client of the instance list.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the list at base.
func NewClient(base string) *Client { return &Client{base: base, http: &http.Client{}} }

// Since implements List.
func (c *Client) Since(ctx context.Context, seq int64, wait time.Duration) (Changes, error) {
	u := fmt.Sprintf("%s/instances?since=%d&wait_ms=%d", c.base, seq, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Changes{}, eris.Wrap(err, "instances: request cannot be made")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Changes{}, eris.Wrap(err, "instances: list cannot be read")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Changes{}, eris.Errorf("instances: status %d", resp.StatusCode)
	}
	var out Changes
	err = json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&out)
	return out, eris.Wrap(err, "instances: answer is malformed")
}

// followWait is how long one read waits for changes.
const followWait = 10 * time.Second

// retryDelay is the time between a failed read and the next one.
const retryDelay = 500 * time.Millisecond

// Follow reads the list and calls each with every set of changes, until ctx ends.
// It calls failed after a failed read and retries.
func Follow(ctx context.Context, list List, each func(Changes), failed func(error)) {
	var seq int64
	for ctx.Err() == nil {
		ch, err := list.Since(ctx, seq, followWait)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			failed(err)
			t := time.NewTimer(retryDelay)
			select {
			case <-ctx.Done():
			case <-t.C:
			}
			t.Stop()
			continue
		}
		if len(ch.Instances) > 0 {
			each(ch)
		}
		seq = max(seq, ch.Seq)
	}
}
