package router

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// settingsInterval is how often the settings file is checked for changes without
// a signal.
const settingsInterval = 5 * time.Second

// followSettings reloads the settings file after SIGHUP and at settingsInterval
// until ctx ends. If the file is invalid, the settings in force stay.
func (r *Router) followSettings(ctx context.Context) {
	if r.settings.path == "" {
		return
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(settingsInterval)
	defer t.Stop()
	last := r.settings.file
	for first := true; ; first = false {
		if !first { // the file may have changed while the process started
			select {
			case <-ctx.Done():
				return
			case <-hup:
			case <-t.C:
			}
		}
		data, err := os.ReadFile(r.settings.path)
		if err != nil || bytes.Equal(data, last) {
			continue
		}
		last = data
		s, err := LoadSettings(r.settings.path)
		if err != nil {
			r.log.Warn("changed settings are faulty, the former ones stay", "findings", err.Error())
			continue
		}
		_ = r.loop.Post(ctx, settingsRead{s})
	}
}
