package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
)

// Member is an instance of the fleet and the status that it reports.
type Member struct {
	instances.Instance
	Reached bool           `json:"reached"`             // the instance answered
	Offset  int64          `json:"config_offset"`       // -1 if unknown
	Load    int64          `json:"load"`                // cost units in flight and in the queue, reported by sides
	Running int            `json:"running"`             // admitted requests, reported by sides
	Usable  map[string]int `json:"endpoints,omitempty"` // usable endpoints by pool, reported by entries
}

// InForce returns the number of instances that report at least the given
// configuration offset, and the instances that do not.
func InForce(fleet []Member, offset int64) (n int, missing []Member) {
	for _, m := range fleet {
		if m.Reached && m.Offset >= offset {
			n++
			continue
		}
		missing = append(missing, m)
	}
	return n, missing
}

// readFleet reads the instance list and the status of all its instances except
// those that are gone.
type readFleet struct{}

func (readFleet) Name() string { return "read" }

const (
	maxConcurrentCalls = 64       // calls of instances in flight
	maxStatusBytes     = 64 << 10 // size of one status answer
)

func (readFleet) Run(ctx context.Context, job *Job) error {
	if job.List == nil {
		return errNoInstanceList
	}
	listCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	changes, err := job.List.Since(listCtx, 0, 0)
	if err != nil {
		return err
	}
	job.Fleet = nil
	for _, instance := range changes.Instances {
		if instance.Status != instances.Gone {
			job.Fleet = append(job.Fleet, Member{Instance: instance, Offset: config.NoBase})
		}
	}
	slices.SortFunc(job.Fleet, func(a, b Member) int {
		return cmp.Or(-cmp.Compare(a.Role, b.Role), cmp.Compare(a.ID, b.ID))
	})
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for i := range job.Fleet {
		m := &job.Fleet[i]
		g.Go(func() error { m.fetchStatus(ctx, job.HTTP); return nil })
	}
	return g.Wait()
}

// fetchStatus reads the status of m from its admin address. If there is no valid
// answer, m stays unreached.
func (m *Member) fetchStatus(ctx context.Context, client *http.Client) {
	if m.Admin == "" {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Admin+"/status", nil)
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	status := struct {
		Offset  int64          `json:"config_offset"`
		Load    int64          `json:"load"`
		Running int            `json:"running"`
		Usable  map[string]int `json:"endpoints"`
	}{Offset: config.NoBase}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&status) != nil {
		return
	}
	m.Reached, m.Offset, m.Load, m.Running, m.Usable = true, status.Offset, status.Load, status.Running, status.Usable
}

// wait polls the fleet until the record of the job is in force on all instances.
type wait struct{}

func (wait) Name() string { return "wait" }

// waitTimeout bounds the wait. A record comes into force within 4 s, and the
// timeout is more than twice that.
const waitTimeout = 10 * time.Second

// pollInterval is the delay between two polls of the fleet.
const pollInterval = 250 * time.Millisecond

// ErrNotInForce is returned when instances lack the configuration.
var ErrNotInForce = eris.New("the configuration is not in force everywhere")

func (wait) Run(ctx context.Context, job *Job) error {
	if !job.Wait {
		return nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for {
		if err := (readFleet{}).Run(ctx, job); err != nil {
			return err
		}
		if _, missing := InForce(job.Fleet, job.Offset); len(missing) == 0 {
			return nil
		}
		if !control.Pause(waitCtx, pollInterval) {
			return ErrNotInForce
		}
	}
}
