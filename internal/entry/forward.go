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

// forward sends a request to the side of its target endpoint.
type forward struct {
	snapshot func() *Snapshot
	key      string // shared key of the fleet
	client   *http.Client
}

func (forward) Name() string { return "forward" }

func (f forward) Handle(ctx context.Context, req *model.Request, _ pipe.Handler) (*model.Answer, error) {
	address := f.address(req)
	if address == "" {
		return nil, model.Refuse(model.ReasonNoEndpoint, "the endpoint has left")
	}
	answer, err := f.send(ctx, req, address)
	if err != nil && !req.Idempotent && model.AsRefusal(err).Outcome == model.OutcomeUnknown {
		req.MayHaveRun = true
	}
	return answer, err
}

func (f forward) send(ctx context.Context, req *model.Request, address string) (*model.Answer, error) {
	if !req.Idempotent {
		req.AttemptID = rand.Text()
	}
	body, err := json.Marshal(wire.FromRequest(req, time.Now()))
	if err != nil {
		return nil, eris.Wrap(err, "entry: request cannot be encoded")
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wire.PathRun, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "entry: request cannot be made")
	}
	httpReq.Header.Set(wire.HeaderKey, f.key)
	resp, err := f.client.Do(httpReq)
	if err != nil {
		return nil, transportRefusal(err)
	}
	return decodeAnswer(req, resp)
}

// resume asks the side of endpoint for the frames of req, starting at index from.
// It never makes the side run the request.
func (f forward) resume(ctx context.Context, req *model.Request, endpoint model.EndpointID, from int) (*model.Answer, error) {
	address := f.addresses(req.Pool)[endpoint]
	if address == "" {
		return nil, &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonNoEndpoint, Detail: "the endpoint has left"}
	}
	url := "http://" + address + wire.PathResume + "?" + wire.ResumeQuery(req, from).Encode()
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "entry: resume request cannot be made")
	}
	httpReq.Header.Set(wire.HeaderKey, f.key)
	resp, err := f.client.Do(httpReq)
	if err != nil {
		return nil, transportRefusal(err)
	}
	return decodeAnswer(req, resp)
}

func (f forward) address(req *model.Request) string { return f.addresses(req.Pool)[req.Target] }

// addresses returns the address of the side of every endpoint of a pool. Leaving
// endpoints are included, since their answers are still read.
func (f forward) addresses(pool model.Pool) map[model.EndpointID]string {
	return f.snapshot().Addresses[pool]
}

// transportRefusal returns the refusal for a failed call to a side. Only if no
// connection was established is it certain that the request did not run; after any
// other error the outcome is unknown.
func transportRefusal(err error) *model.Refusal {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return model.Refuse(model.ReasonUnreachable, "the side process cannot be reached")
	}
	return &model.Refusal{Outcome: model.OutcomeUnknown, Reason: model.ReasonUnreachable, Detail: err.Error()}
}

// decodeAnswer decodes the response of a side: a refusal, or the head of an answer
// whose frames follow.
func decodeAnswer(req *model.Request, resp *http.Response) (*model.Answer, error) {
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
		// Sides of earlier versions, and refusals to resume, name no attempt.
		if refusal.AttemptID != "" && refusal.AttemptID != req.AttemptID {
			return nil, eris.Errorf("entry: refusal belongs to another attempt of request %s", req.ID)
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
