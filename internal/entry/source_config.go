package entry

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/configsync"
	"github.com/goldcrestturn/goldcrestturn/internal/member"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// configSource returns the source that feeds the configuration stage.
func (e *Entry) configSource() *configsync.Source {
	source := configsync.NewSource(configsync.Options{
		Log:      e.log,
		Logs:     e.deps.Logs,
		Loop:     e.loop,
		View:     func() config.View { return e.loop.Snapshot().View },
		RandIntN: func(n int) int { return int(e.jitter() * float64(n)) },
		Budget:   e.settings.ControlBudget,
		Stretch:  func() float64 { return e.node.Meter().Stretch(time.Now()) },
		Peers: configsync.ExchangePeers{
			Node:    e.node,
			Self:    e.settings.Instance,
			Address: e.settings.Control,
			Peers:   func() *member.Peers { return e.loop.Snapshot().Peers },
		},
	})
	if err := source.Register(e.node); err != nil {
		panic(err) // net/rpc rejects the method set: a programming error
	}
	return source
}

// snapshotter returns the task that appends snapshot records to the log.
func (e *Entry) snapshotter() *configsync.Snapshotter {
	return configsync.NewSnapshotter(configsync.SnapshotOptions{
		Log:       e.log,
		Logs:      e.deps.Logs,
		View:      func() config.View { return e.loop.Snapshot().View },
		Instance:  e.settings.Instance,
		Entries:   func() []model.InstanceID { return e.loop.Snapshot().Entries },
		Retention: e.settings.LogRetention,
	})
}
