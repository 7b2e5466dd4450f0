package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/logsvc"
	"github.com/goldcrestturn/goldcrestturn/internal/program"
)

// memoryLog is an in-memory log that can lose the next appends or their answers.
type memoryLog struct {
	records      []logsvc.Record
	loseAnswers  int    // number of next appends that take effect but return an error
	loseAppends  int    // number of next appends that have no effect and return an error
	beforeAppend func() // called once, before the next append
}

var errNoAnswer = eris.New("no answer")

func (l *memoryLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	if f := l.beforeAppend; f != nil {
		l.beforeAppend = nil
		f()
	}
	if l.loseAppends > 0 {
		l.loseAppends--
		return 0, errNoAnswer
	}
	l.records = append(l.records, logsvc.Record{Offset: int64(len(l.records)), Data: data})
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return 0, errNoAnswer
	}
	return int64(len(l.records) - 1), nil
}

func (l *memoryLog) Read(_ context.Context, _ string, from int64, _ time.Duration) (logsvc.Batch, error) {
	from = min(from, int64(len(l.records)))
	return logsvc.Batch{Next: int64(len(l.records)), Records: l.records[from:]}, nil
}

// fixedList is an instance list that never changes.
type fixedList []instances.Instance

func (l fixedList) Since(context.Context, int64, time.Duration) (instances.Changes, error) {
	return instances.Changes{Seq: 1, Instances: l}, nil
}

// runCommand runs cmd against log and returns the job and the error.
func runCommand(t *testing.T, log *memoryLog, cmd Command, args ...string) (*Job, error) {
	t.Helper()
	job := newJob()
	job.Options = Options{Lists: "../../examples/kauri", Author: "test", Timeout: 5 * time.Second}
	job.Args, job.Logs = args, log
	return job, run(context.Background(), job, cmd.Filters(job))
}

func acceptedConfig(t *testing.T, log *memoryLog) *config.Accepted {
	t.Helper()
	job := newJob()
	job.Logs = log
	is.New(t).NoErr(readAccepted{}.Run(context.Background(), job))
	return job.Follower.Accepted
}

// Guards against an apply that omits a part of the lists.
func TestApplyPutsTheListsInForce(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{}
	job, err := runCommand(t, log, applyCommand())
	is.NoErr(err)
	is.Equal(job.Offset, int64(0))
	l := acceptedConfig(t, log).Lists
	is.Equal(len(l.Workspaces), 10)
	is.Equal(len(l.DataCentres), 3)
	job, err = runCommand(t, log, diffCommand())
	is.NoErr(err)
	is.Equal(len(job.Changes), 0)
}

// Guards against a record that is accepted twice, or not at all, after the
// answer to its append was lost.
func TestLostAppendAnswerIsResolved(t *testing.T) {
	for _, initial := range []memoryLog{{loseAnswers: 1}, {loseAppends: 1}, {loseAnswers: 2}, {loseAppends: 2}} {
		is := is.New(t)
		log := &initial
		_, err := runCommand(t, log, applyCommand())
		is.NoErr(err)
		is.Equal(acceptedConfig(t, log).Offset, int64(0))
	}
}

// Guards against two concurrent commands that both report success although the
// second record is stale.
func TestStaleRecordIsReportedAndChangesNothing(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{}
	_, err := runCommand(t, log, applyCommand())
	is.NoErr(err)
	log.beforeAppend = func() {
		_, err := runCommand(t, log, drainCommand(), "akl-2")
		is.NoErr(err)
	}
	_, err = runCommand(t, log, drainCommand(), "akl-1")
	is.True(eris.Is(err, ErrStaleRecord))
	l := acceptedConfig(t, log).Lists
	is.Equal(l.DataCentres["akl-1"].State, lists.DataCentreIn)
	is.Equal(l.DataCentres["akl-2"].State, lists.DataCentreOut)
}

// Guards against an apply that restores a drained data centre as a side effect.
func TestApplyDoesNotRestoreADrainedDataCentre(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{}
	_, err := runCommand(t, log, applyCommand())
	is.NoErr(err)
	_, err = runCommand(t, log, drainCommand(), "akl-1")
	is.NoErr(err)
	_, err = runCommand(t, log, applyCommand())
	is.True(strings.Contains(err.Error(), "out of service"))
	_, err = runCommand(t, log, restoreCommand(), "akl-1")
	is.NoErr(err)
	_, err = runCommand(t, log, applyCommand())
	is.NoErr(err)
}

// Guards against a second rollout of a pool during an active one, and against
// a change to the verdict of a rollout that has ended.
func TestRolloutCommands(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{}
	_, err := runCommand(t, log, applyCommand())
	is.NoErr(err)
	start := func() (*Job, error) {
		cmd := rolloutStartCommand()
		cmd.Filters = func(job *Job) []Filter {
			job.Rollout = rolloutFlags{share: defaultFirstShare, steps: defaultSteps, window: defaultWindow}
			return rolloutStartCommand().Filters(job)
		}
		return runCommand(t, log, cmd, "summaries", "2026.12")
	}
	job, err := start()
	is.NoErr(err)
	_, err = start()
	is.True(err != nil) // still active
	_, err = runCommand(t, log, rolloutRollBackCommand(), job.Changes[0].Name)
	is.NoErr(err)
	is.Equal(acceptedConfig(t, log).Lists.Rollouts[job.Changes[0].Name].State, lists.RolloutRolledBack)
	_, err = runCommand(t, log, rolloutRollBackCommand(), job.Changes[0].Name)
	is.True(err != nil) // has ended
}

// Guards against a wait that counts an instance without the configuration.
func TestInForceListsMissingInstances(t *testing.T) {
	is := is.New(t)
	offset := 4
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"config_offset": offset, "load": 7})
	}))
	defer srv.Close()
	job := newJob()
	job.HTTP = srv.Client()
	job.List = fixedList{
		{ID: "entry-1", Role: instances.RoleEntry, Admin: srv.Listener.Addr().String()},
		{ID: "engine-1", Role: instances.RoleEndpoint, Status: instances.Live},
		{ID: "engine-2", Role: instances.RoleEndpoint, Status: instances.Gone},
	}
	is.NoErr(readFleet{}.Run(context.Background(), job))
	var out bytes.Buffer
	printInForce(&out, job.Fleet, 4)
	is.Equal(out.String(), "in force on 1 of 2\nmissing: engine-1 (endpoint, ) does not answer\n")
}

// Guards against the same exit code for different kinds of failure, which a
// script could not distinguish.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"check", "-lists", "../../examples/kalesa"}, &out, &errOut), program.ExitOK)
	is.Equal(Main([]string{"drain"}, &out, &errOut), program.ExitSettings)
	is.Equal(Main([]string{"check"}, &out, &errOut), program.ExitSettings)
	is.Equal(Main([]string{"diff", "-lists", "../../examples/kalesa", "-log-service", "http://127.0.0.1:1"}, &out, &errOut), program.ExitFailure)
	is.Equal(Main([]string{"nothing"}, &out, &errOut), program.ExitSettings)
}
