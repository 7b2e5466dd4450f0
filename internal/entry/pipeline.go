package entry

import (
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// trafficPipeline lists the filters between decode and encode.
func (e *Entry) trafficPipeline() pipe.Handler {
	out := forward{snapshot: e.loop.Snapshot, key: e.settings.Key, client: e.client}
	without := e.deps.Without
	return pipe.Chain(
		countActive{e.loop},
		identify{e.loop.Snapshot},
		resolve{logs: e.deps.Logs, budget: e.budget, resume: out.resume, off: without.Void},
		relay{out.resume, without.FrameCheck},
		routeOwner{e.loop.Snapshot},
		chooseEndpoint{e.loop.Snapshot},
		out,
	)
}

// controlPipeline lists the stages between the sources and the snapshot.
func (e *Entry) controlPipeline() []control.Stage[State] {
	return []control.Stage[State]{
		foldConfig{e.log},
		foldMembers{},
		decideDrain{e.settings.Instance, e.budget, e.settings.AppendBudget},
		derive{},
	}
}
