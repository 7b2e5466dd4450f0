package entry

import (
	"context"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/invariant"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// selectVersion selects the version of a request: by the chat's hash slice
// while a rollout is active, the pool's version otherwise. A request for the new
// version falls back to the old one if no endpoint takes it.
type selectVersion struct{ snapshot func() *Snapshot }

func (selectVersion) Name() string { return "version" }

func (f selectVersion) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	choice := f.snapshot().Versions.Choose(req.Pool, req.HashKey(), time.Now())
	req.Version = choice.Preferred
	invariant.Check(invariant.VersionShare, !f.snapshot().Versions.Suspended(req.Pool, req.Version),
		"a request was sent to the suspended version %s of pool %s", req.Version, req.Pool)
	answer, err := next(ctx, req)
	if err == nil || choice.Fallback == "" || !versionUnavailable(err) {
		return answer, err
	}
	req.Version = choice.Fallback
	return next(ctx, req)
}

// versionUnavailable reports whether err says that the request did not run because
// the endpoints of the version take no work.
func versionUnavailable(err error) bool {
	r := model.AsRefusal(err)
	if r.Outcome != model.OutcomeNotRun {
		return false
	}
	switch r.Reason {
	case model.ReasonNoEndpoint, model.ReasonVersion, model.ReasonOverloaded, model.ReasonCold,
		model.ReasonUnreachable, model.ReasonLeaving, model.ReasonDraining, model.ReasonDataCentreOut:
		return true
	}
	return false
}
