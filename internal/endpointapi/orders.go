package endpointapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Paths of the orders interface of an engine.
const (
	PathOrders = "/orders" // POST one Order; 202 once it is accepted, 412 if its fence is stale
	PathState  = "/state"  // GET the EngineState
)

// OrderKind is what an order changes.
type OrderKind string

// The kinds of order.
const (
	OrderLoad          OrderKind = "load"   // load Version from the weight store
	OrderUnload        OrderKind = "unload" // unload Version
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
	OrderRole          OrderKind = "role" // change the role to Role
)

// Order is one change of what an engine has loaded or of its role. An engine
// that honours fences refuses an order whose fence is lower than the highest
// fence that it has accepted.
type Order struct {
	Fence   int64         `json:"fence"` // offset of the configuration record that the order is derived from
	Kind    OrderKind     `json:"kind"`
	Version model.Version `json:"version,omitempty"`
	Adapter string        `json:"adapter,omitempty"`
	Role    string        `json:"role,omitempty"`
}

// EngineState is what an engine has loaded, and its role.
type EngineState struct {
	Fence    int64           `json:"fence"` // highest accepted fence; 0 if the engine does not store it
	Loaded   []model.Version `json:"loaded"`
	Loading  []model.Version `json:"loading,omitempty"` // loads in progress
	Adapters []string        `json:"adapters,omitempty"`
	Role     string          `json:"role,omitempty"`
}

// ErrStaleFence is returned if the engine refuses an order because of its fence. The
// engine stand-in sends its text in the answer.
var ErrStaleFence = eris.New("endpointapi: the engine has taken an order with a higher fence")

// maxStateBytes bounds the encoded state of an engine.
const maxStateBytes = 256 << 10

// SendOrder sends one order. After an error other than ErrStaleFence the engine
// may or may not have accepted it.
func (e *Engine) SendOrder(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return eris.Wrap(err, "endpointapi: order cannot be encoded")
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+PathOrders, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "endpointapi: order request cannot be made")
	}
	resp, err := e.http.Do(call)
	if err != nil {
		return eris.Wrap(err, "endpointapi: order cannot be sent")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusAccepted:
		return nil
	case http.StatusPreconditionFailed:
		return ErrStaleFence
	}
	return eris.Errorf("endpointapi: order refused with status %d", resp.StatusCode)
}

// State reads what the engine has loaded, and its role.
func (e *Engine) State(ctx context.Context) (EngineState, error) {
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+PathState, nil)
	if err != nil {
		return EngineState{}, eris.Wrap(err, "endpointapi: state request cannot be made")
	}
	resp, err := e.http.Do(call)
	if err != nil {
		return EngineState{}, eris.Wrap(err, "endpointapi: state cannot be read")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return EngineState{}, eris.Errorf("endpointapi: state refused with status %d", resp.StatusCode)
	}
	var st EngineState
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&st)
	return st, eris.Wrap(err, "endpointapi: state is malformed")
}
