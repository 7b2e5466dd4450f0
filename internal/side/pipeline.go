package side

import (
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// trafficPipeline lists the filters between decode and encode.
func (p *Side) trafficPipeline() pipe.Handler {
	return pipe.Chain(
		newAdmission(p.loop),
		run{p.deps.Endpoint},
	)
}

// controlPipeline lists the stages between the sources and the snapshot.
func (p *Side) controlPipeline() []control.Stage[State] {
	return []control.Stage[State]{
		foldConfig{p.log},
		foldMean{},
		decideAdmission{p.settings},
	}
}
