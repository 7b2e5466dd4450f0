package side

import (
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
	"github.com/goldcrestturn/goldcrestturn/internal/program"
)

// trafficPipeline lists the filters between decode and encode.
func (p *Side) trafficPipeline() pipe.Handler {
	return pipe.Chain(
		deduplicate{p.loop, p.deps.Without.Deduplicate},
		claimRun{p.loop, p.deps.Without.Barrier},
		admit{p.loop},
		reconnect{p.deps.Without.Reconnect},
		run{p.deps.Endpoint},
	)
}

// controlPipeline lists the stages between the sources and the snapshot.
func (p *Side) controlPipeline() []control.Stage[State] {
	return []control.Stage[State]{
		foldConfig{p.log},
		foldMean{},
		foldList{p.settings, p.budget},
		decideAdmission{p.settings},
		decideClaims{p.settings, p.deps.Without.Claims, program.WithPrefix(p.log, "claims: ")},
		keepAnswers{},
		decideDrain{},
	}
}
