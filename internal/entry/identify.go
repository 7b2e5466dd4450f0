package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// identify finds the workspace, plan, pool and route of a request and checks
// that the plan may use the pool.
type identify struct {
	snapshot func() *Snapshot
	lookup   func(ctx context.Context, keyHash string) bool // asks a peer while the configuration is loading
}

// loadRetryAfter is the Retry-After for callers whose workspace is not loaded yet.
const loadRetryAfter = 2 * time.Second

func (identify) Name() string { return "identify" }

func (f identify) Handle(ctx context.Context, req *model.Request, next pipe.Handler) (*model.Answer, error) {
	s := f.snapshot()
	if s.Config.Offset == config.NoBase {
		return nil, model.Refuse(model.ReasonNotConfigured, "no configuration has been accepted yet")
	}
	hash := hashKey(req.APIKey)
	name, ok := s.Keys[hash]
	if !ok && s.Config.Loading && f.lookup(ctx, hash) {
		s = f.snapshot()
		name, ok = s.Keys[hash]
	}
	if !ok && s.Config.Loading {
		return nil, &model.Refusal{Outcome: model.OutcomeNotRun, Reason: model.ReasonNotConfigured, Detail: "the workspaces are still being loaded", RetryAfter: loadRetryAfter}
	}
	if !ok {
		return nil, model.Refuse(model.ReasonUnauthorised, "the API key is not known")
	}
	req.APIKey = ""
	route, ok := s.Config.Lists.Routes[req.Route]
	if !ok {
		return nil, model.Refuse(model.ReasonNoRoute, "no route has this name")
	}
	pool := s.Config.Lists.Pools[route.Pool]
	plan := s.Config.Lists.Workspaces[name].Plan
	if !slices.Contains(pool.Plans, plan) {
		return nil, model.Refuse(model.ReasonForbidden, "the workspace's plan does not include this route")
	}
	req.Workspace, req.Plan = name, plan
	req.Priority = s.Config.Lists.Plans[plan].Priority
	req.Pool, req.Kind, req.Idempotent = route.Pool, pool.Kind, route.Idempotent
	return next(ctx, req)
}

// hashKey returns the hash of an API key in the form that the lists contain.
func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
