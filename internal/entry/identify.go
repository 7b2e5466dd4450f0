package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
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
	name, refusal := f.workspace(ctx, req.APIKey)
	if refusal != nil {
		return nil, refusal
	}
	req.APIKey = ""
	accepted := f.snapshot().Config.Lists
	if refusal := authorise(accepted, name, req.Route); refusal != nil {
		return nil, refusal
	}
	route, plan := accepted.Routes[req.Route], accepted.Workspaces[name].Plan
	req.Workspace, req.Plan = name, plan
	req.Priority = accepted.Plans[plan].Priority
	req.Pool, req.Kind, req.Idempotent = route.Pool, accepted.Pools[route.Pool].Kind, route.Idempotent
	return next(ctx, req)
}

// workspace returns the workspace of an API key, or a refusal.
func (f identify) workspace(ctx context.Context, key string) (model.Workspace, *model.Refusal) {
	s := f.snapshot()
	if s.Config.Offset == config.NoBase {
		return "", model.Refuse(model.ReasonNotConfigured, "no configuration has been accepted yet")
	}
	hash := hashKey(key)
	name, ok := s.Keys[hash]
	if !ok && s.Config.Loading && f.lookup(ctx, hash) {
		s = f.snapshot()
		name, ok = s.Keys[hash]
	}
	if !ok && s.Config.Loading {
		return "", &model.Refusal{Outcome: model.OutcomeNotRun, Reason: model.ReasonNotConfigured, Detail: "the workspaces are still being loaded", RetryAfter: loadRetryAfter}
	}
	if !ok {
		return "", model.Refuse(model.ReasonUnauthorised, "the API key is not known")
	}
	return name, nil
}

// authorise returns a refusal unless the plan of a workspace includes a route.
func authorise(accepted *lists.Lists, workspace model.Workspace, name model.Route) *model.Refusal {
	route, ok := accepted.Routes[name]
	if !ok {
		return model.Refuse(model.ReasonNoRoute, "no route has this name")
	}
	if !slices.Contains(accepted.Pools[route.Pool].Plans, accepted.Workspaces[workspace].Plan) {
		return model.Refuse(model.ReasonForbidden, "the workspace's plan does not include this route")
	}
	return nil
}

// checkHead refuses requests that are refused whatever their body is before it is read.
// routeOf returns the route of a request if its head names it, and "" if not.
func (e *Entry) checkHead(f identify, routeOf func(*http.Request) model.Route, next http.Handler) http.Handler {
	check := func(r *http.Request) *model.Refusal {
		name, refusal := f.workspace(r.Context(), apiKey(r))
		if refusal != nil {
			return refusal
		}
		if route := routeOf(r); route != "" {
			if refusal := authorise(f.snapshot().Config.Lists, name, route); refusal != nil {
				return refusal
			}
		}
		if r.ContentLength > e.settings.MaxBody {
			return model.Refuse(model.ReasonBadRequest, detailTooLarge)
		}
		return nil
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refusal := check(r); refusal != nil {
			encodeError(r.Context(), refusal, w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// hashKey returns the hash of an API key in the form that the lists contain.
func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
