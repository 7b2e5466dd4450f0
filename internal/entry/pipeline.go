package entry

import (
	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/pipe"
)

// trafficPipeline lists the filters between decode and encode.
func (e *Entry) trafficPipeline() pipe.Handler {
	return pipe.Chain(
		identify{e.loop.Snapshot},
		chooseEndpoint{e.loop.Snapshot, e.loop},
		forward{snapshot: e.loop.Snapshot, key: e.settings.Key, client: e.client},
	)
}

// controlPipeline lists the stages between the sources and the snapshot.
func (e *Entry) controlPipeline() []control.Stage[State] {
	return []control.Stage[State]{
		foldConfig{e.log},
		foldMembers{},
		derive{},
	}
}
