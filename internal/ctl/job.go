package ctl

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
)

// Job holds the input and the results of a command. Each filter sets the fields
// that later filters read.
type Job struct {
	Options Options
	Args    []string

	// Clients, set by connect.
	Logs logsvc.Log
	List instances.List
	HTTP *http.Client

	Desired  *lists.Lists     // lists read from the operator's files
	Follower *config.Follower // accepted configuration, after readAccepted
	Changes  []lists.Change
	Offset   int64 // offset of this job's accepted record; -1 if there is none
	Fleet    []Member
	Wait     bool // wait until the record is in force
	Founding bool // append a founding record
	Rollout  rolloutFlags
	Slow     slowReport
}

func newJob() *Job { return &Job{Offset: config.NoBase} }

func (j *Job) connect() {
	j.HTTP = &http.Client{Timeout: statusTimeout}
	if j.Options.LogService != "" {
		j.Logs = logsvc.NewClient(j.Options.LogService)
	}
	if j.Options.InstanceList != "" {
		j.List = instances.NewClient(j.Options.InstanceList)
	}
}

// Filter is one stage of a command's pipeline.
type Filter interface {
	Name() string
	Run(ctx context.Context, job *Job) error
}

// run passes job through filters in order and stops at the first failure.
func run(ctx context.Context, job *Job, filters []Filter) error {
	ctx, cancel := context.WithTimeout(ctx, job.Options.Timeout)
	defer cancel()
	for _, f := range filters {
		if err := f.Run(ctx, job); err != nil {
			return eris.Wrap(err, f.Name())
		}
	}
	return nil
}

// Timeouts of single calls.
const (
	callTimeout   = 5 * time.Second // call of the log service or instance list
	statusTimeout = time.Second     // call of an instance
)
