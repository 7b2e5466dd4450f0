package e2e

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/choose"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// Guards against a repeated prefill of the whole prompt of a chat when its
// endpoint leaves.
func TestCacheIsTransferredFromLeavingEndpoint(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1)
	f.waitUntilReady(0)
	const body = `{"messages":[{"role":"user","content":"a long history that the engine keeps in its cache"}],"max_tokens":4}`
	turn := func(token string) (string, int64) {
		resp := f.post(0, "/v1/chat/completions", body, map[string]string{"Chat-Id": "bug-7", "Return-Token": token})
		is.Equal(resp.StatusCode, http.StatusOK)
		var answer struct {
			Usage struct {
				Cached int64 `json:"cached_tokens"`
			} `json:"usage"`
		}
		is.NoErr(json.NewDecoder(resp.Body).Decode(&answer))
		return resp.Header.Get("Return-Token"), answer.Usage.Cached
	}
	oldToken, cached := turn("")
	is.Equal(cached, int64(0))
	for _, id := range []model.InstanceID{"engine-0", "engine-1", "engine-2"} {
		if choose.ReturnToken(model.EndpointID(id)) == oldToken {
			in := f.instance(id)
			in.Status = instances.Leaving
			is.NoErr(f.list.Put(f.ctx, in))
		}
	}
	newToken, cached := turn(oldToken)
	for newToken == oldToken { // the entry reads the instance list in the background
		time.Sleep(5 * time.Millisecond)
		newToken, cached = turn(oldToken)
	}
	is.True(cached > 0)
}

// instance returns an instance from the instance list.
func (f *fleet) instance(id model.InstanceID) instances.Instance {
	ch, err := f.list.Since(f.ctx, 0, 0)
	is.New(f.t).NoErr(err)
	for _, in := range ch.Instances {
		if in.ID == id {
			return in
		}
	}
	f.t.Fatalf("no instance %s", id)
	return instances.Instance{}
}
