package entry

import (
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// trafficPipeline lists the filters between decode and encode.
func (e *Entry) trafficPipeline() pipe.Handler {
	out := forward{snapshot: e.loop.Snapshot, key: e.settings.Key, client: e.client}
	without := e.deps.Disabled
	return pipe.Chain(
		countActive{e.loop},
		timeStages{e.loop, e.loop.Snapshot},
		identify{snapshot: e.loop.Snapshot, lookup: e.configs.Lookup},
		limitRate{e},
		resolve{logs: e.deps.Logs, budget: e.budget, resume: out.resume, off: without.Void},
		relay{out.resume, e.mayRepeat, without.FrameCheck},
		guard{e.loop.Snapshot, e.mayRepeat},
		selectVersion{e.loop.Snapshot},
		routeOwner{e.loop.Snapshot},
		chooseEndpoint{e.loop.Snapshot, e.mayHandOver, e.loop},
		out,
	)
}

// controlPipeline lists the stages between the sources and the snapshot.
func (e *Entry) controlPipeline() []control.Stage[State] {
	return []control.Stage[State]{
		foldConfig(e.log),
		foldMembers{},
		decideDrain{e.settings.Instance, e.budget, e.settings.AppendBudget},
		derivePeers{e.settings},
		derive{},
		foldSuspects{e.settings.Instance},
		spend{e.settings.Instance},
		lend{},
		budgetRepeats{},
		sumReports{e.settings, e.node.Meter()},
		judgeRollouts{e.settings},
		watchTimes{e.settings},
	}
}
