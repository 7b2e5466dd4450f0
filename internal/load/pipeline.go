package load

import (
	"context"
	"io"
	"time"

	"golang.org/x/sync/errgroup"
)

// Run generates load according to s and returns the report. It ends after the
// duration and the grace time at the latest. Progress is written to log.
func Run(ctx context.Context, s Settings, log io.Writer) Report {
	start := time.Now()
	calls, results, chatResults := make(chan plannedCall), make(chan result, s.Concurrency), make(chan chatResult, s.Concurrency)
	runCtx, cancel := context.WithDeadline(ctx, start.Add(s.Duration+s.Grace))
	defer cancel()

	p, r := newPlanner(s, start), &receiver{settings: s, sender: newSender(s)}
	rep := newReporter(s, log, start)
	plannerDone := make(chan struct{})

	var workers, stages errgroup.Group
	stages.Go(func() error { defer close(plannerDone); p.run(runCtx, calls, chatResults); return nil })
	for range s.Concurrency {
		workers.Go(func() error { sendAndReceive(runCtx, r, calls, results, chatResults, plannerDone); return nil })
	}
	stages.Go(func() error { rep.run(results); return nil })
	_ = workers.Wait()
	close(results)
	_ = stages.Wait()
	return rep.finish(context.WithoutCancel(ctx))
}

// sendAndReceive is a worker of the stages between planner and reporter. It
// handles one call at a time until calls is closed.
func sendAndReceive(ctx context.Context, r *receiver, calls <-chan plannedCall, results chan<- result, chatResults chan<- chatResult, plannerDone <-chan struct{}) {
	for p := range calls {
		res, text := r.handle(ctx, p.call)
		results <- res
		if p.chat == nil {
			continue
		}
		select {
		case chatResults <- chatResult{chat: p.chat, text: text, returnToken: res.returnToken, complete: res.verdict == verdictComplete}:
		case <-plannerDone:
		}
	}
}
