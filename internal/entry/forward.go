package entry

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
	"github.com/goldcrestturn/goldcrestturn/internal/wire"
)

// forward hands a request over to the side process of its target.
type forward struct {
	snapshot func() *Snapshot
	key      string
	client   *http.Client
}

func (forward) Name() string { return "forward" }

func (f forward) Handle(ctx context.Context, req *model.Request, _ pipe.Handler) (*model.Answer, error) {
	address := f.address(req)
	if address == "" {
		return nil, model.Refuse(model.ReasonNoEndpoint, "the endpoint has left")
	}
	answer, err := f.run(ctx, req, address)
	if err != nil && !req.Idempotent && model.AsRefusal(err).Outcome == model.OutcomeUnknown {
		req.MayHaveRun = true
	}
	return answer, err
}

func (f forward) run(ctx context.Context, req *model.Request, address string) (*model.Answer, error) {
	if !req.Idempotent {
		req.AttemptID = rand.Text()
	}
	body, err := json.Marshal(wire.FromRequest(req, time.Now()))
	if err != nil {
		return nil, eris.Wrap(err, "entry: request cannot be encoded")
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wire.PathRun, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "entry: request cannot be made")
	}
	call.Header.Set(wire.HeaderKey, f.key)
	resp, err := f.client.Do(call)
	if err != nil {
		return nil, callRefusal(err)
	}
	return readAnswer(req, resp)
}

// resume asks the side of endpoint for the frames of req from index from on.
// It never makes the side run the request.
func (f forward) resume(ctx context.Context, req *model.Request, endpoint model.EndpointID, from int) (*model.Answer, error) {
	address := f.addresses(req.Pool)[endpoint]
	if address == "" {
		return nil, &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonNoEndpoint, Detail: "the endpoint has left"}
	}
	target := "http://" + address + wire.PathResume + "?" + wire.ResumeQuery(req, from).Encode()
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, eris.Wrap(err, "entry: resume request cannot be made")
	}
	call.Header.Set(wire.HeaderKey, f.key)
	resp, err := f.client.Do(call)
	if err != nil {
		return nil, callRefusal(err)
	}
	return readAnswer(req, resp)
}

func (f forward) address(req *model.Request) string { return f.addresses(req.Pool)[req.Target] }

// addresses returns the side of every endpoint of a pool, leaving ones
// included, since their answers are still read.
func (f forward) addresses(pool model.Pool) map[model.EndpointID]string {
	return f.snapshot().Addresses[pool]
}

// callRefusal is a truthful refusal for a failed call: only a connection that
// was never made proves that the request did not run.
func callRefusal(err error) *model.Refusal {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return model.Refuse(model.ReasonUnreachable, "the side process cannot be reached")
	}
	return &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonUnreachable, Detail: err.Error()}
}

func readAnswer(req *model.Request, resp *http.Response) (*model.Answer, error) {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		defer resp.Body.Close()
		var refusal wire.Refusal
		if err := json.NewDecoder(io.LimitReader(resp.Body, wire.MaxFrameBytes)).Decode(&refusal); err != nil {
			return nil, eris.Wrap(err, "entry: refusal is malformed")
		}
		if refusal.Request != req.ID {
			return nil, eris.Errorf("entry: refusal belongs to request %s, not %s", refusal.Request, req.ID)
		}
		return nil, refusal.Model()
	default:
		resp.Body.Close()
		return nil, eris.Errorf("entry: side process answered with status %d", resp.StatusCode)
	}
	frames, head, err := wire.NewReader(resp.Body)
	if err != nil {
		resp.Body.Close()
		return nil, err
	}
	if head.Request != req.ID {
		resp.Body.Close()
		return nil, eris.Errorf("entry: answer belongs to request %s, not %s", head.Request, req.ID)
	}
	req.Stages.Add(model.StageQueue, time.Duration(head.QueueUS)*time.Microsecond)
	req.Stages.Add(model.StageAdmit, time.Duration(head.AdmitUS)*time.Microsecond)
	return &model.Answer{
		Request: head.Request, Status: head.Status, ContentType: head.ContentType,
		Endpoint: head.Endpoint, Version: head.Version, LoadRatio: head.LoadRatio,
		CachedUnits: head.CachedUnits, Frames: frames, Stages: req.Stages,
	}, nil
}
