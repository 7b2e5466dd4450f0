package logsvc

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

// Log is the part of the log service that the fleet uses.
type Log interface {
	// Append adds a record with data to a stream and returns its offset. After
	// an error the record may or may not have been added.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns records from the given offset. If there are none, it waits up
	// to wait for one.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
}

// maxBatchBytes bounds the size of the answer to one read.
const maxBatchBytes = 16 << 20

// Client is an HTTP client of the log service.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the service at base, such as
// "http://127.0.0.1:7400".
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{}}
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.streamURL(stream), bytes.NewReader(data))
	if err != nil {
		return 0, eris.Wrap(err, "logsvc: append request cannot be made")
	}
	var out Appended
	if err := c.do(req, &out); err != nil {
		return 0, eris.Wrapf(err, "logsvc: append to %s", stream)
	}
	return out.Offset, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
	u := fmt.Sprintf("%s?from=%d&wait_ms=%d", c.streamURL(stream), from, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Batch{}, eris.Wrap(err, "logsvc: read request cannot be made")
	}
	var out Batch
	if err := c.do(req, &out); err != nil {
		return Batch{}, eris.Wrapf(err, "logsvc: read of %s", stream)
	}
	return out, nil
}

func (c *Client) streamURL(stream string) string {
	return c.base + "/streams/" + url.PathEscape(stream)
}

func (c *Client) do(req *http.Request, out any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxBatchBytes)
	if resp.StatusCode != http.StatusOK {
		msg, _ := io.ReadAll(io.LimitReader(body, 512))
		return eris.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(msg))
	}
	return json.NewDecoder(body).Decode(out)
}
