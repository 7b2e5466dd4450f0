package side

import (
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
	"github.com/goldcrestturn/goldcrestturn/internal/program"
)

// trafficPipeline lists the filters between decode and encode.
func (p *Side) trafficPipeline() pipe.Handler {
	return pipe.Chain(
		deduplicate{p.loop, p.deps.Disabled.Deduplicate},
		guardSuspects{p.loop.Snapshot},
		requireClaim{p.loop, p.deps.Disabled.Barrier},
		newAdmission(p.loop),
		countEvidence{p.loop, p.loop.Snapshot, p.settings},
		watchCrash{p},
		timeStages{p.loop, p.settings},
		fetchKV{p.kv, p.settings.Key},
		reconnect{p.deps.Disabled.Reconnect},
		run{p.deps.Endpoint},
	)
}

// controlPipeline lists the stages between the sources and the snapshot.
func (p *Side) controlPipeline() []control.Stage[State] {
	return []control.Stage[State]{
		configStage(p.log),
		mergeMembers{},
		derivePeers{p.settings},
		decideOrders{pool: p.settings.Pool, wake: p.ordersWake},
		updateMean{},
		applyList{p.settings, p.budget},
		trackSuspects{p.settings},
		decideAdmission{p.settings},
		planTransfers{p.settings, p.kv},
		decideClaims{p.settings, p.deps.Disabled.Claims, program.WithPrefix(p.log, "claims: ")},
		keepAnswers{},
		buildReport{p.settings},
		countRequests{p.settings},
		sumTimes{p.settings},
		decideDrain{},
	}
}
