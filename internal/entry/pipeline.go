package entry

import (
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// trafficPipeline lists the filters between decode and encode.
func (e *Entry) trafficPipeline() pipe.Handler {
	fwd := forward{snapshot: e.loop.Snapshot, key: e.settings.Key, client: e.client}
	disabled := e.deps.Disabled
	return pipe.Chain(
		countActive{e.loop},
		timeStages{e.loop, e.loop.Snapshot},
		e.identify(),
		limitRate{e},
		resolveOutcome{logs: e.deps.Logs, budget: e.budget, resume: fwd.resume, disabled: disabled.Void},
		relay{fwd.resume, e.mayRetry, disabled.FrameCheck},
		guardSuspects{e.loop.Snapshot, e.mayRetry},
		selectVersion{e.loop.Snapshot},
		routeOwner{e.loop.Snapshot},
		chooseEndpoint{e.loop.Snapshot, e.mayTryNextEndpoint, e.loop},
		fwd,
	)
}

// identify returns the filter of that name.
func (e *Entry) identify() identify {
	return identify{snapshot: e.loop.Snapshot, lookup: e.configs.Lookup}
}

// controlPipeline lists the stages between the sources and the snapshot.
func (e *Entry) controlPipeline() []control.Stage[State] {
	return []control.Stage[State]{
		configStage(e.log),
		mergeMembers{},
		decideDrain{e.settings.Instance, e.budget, e.settings.AppendBudget},
		derivePeers{e.settings},
		deriveRouting{},
		trackSuspects{e.settings.Instance},
		decideLimit{e.settings.Instance},
		lendUnits{},
		budgetRetries{},
		aggregateReports{e.settings, e.node.Meter()},
		judgeRollouts{e.settings},
		trackTimes{e.settings},
	}
}
