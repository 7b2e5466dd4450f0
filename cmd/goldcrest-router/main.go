// Command goldcrest-router serves callers on the users' platform. It sends their
// requests directly to the endpoints that the platform's store lists.
package main

import (
	"context"
	"log/slog"
	"os"

	_ "github.com/goldcrestturn/goldcrestturn/internal/hangup" // SIGHUP reloads the settings
	"github.com/goldcrestturn/goldcrestturn/internal/program"
	"github.com/goldcrestturn/goldcrestturn/internal/router"
	"github.com/goldcrestturn/goldcrestturn/platform"
)

func main() {
	os.Exit(program.Main("goldcrest-router", "router: ", os.Args[1:], router.LoadSettings, run))
}

func run(ctx context.Context, log *slog.Logger, s router.Settings) error {
	store := platform.NewStore(s.Store)
	return router.Run(ctx, s, router.Deps{Log: log, Features: platform.Features(s.Contracts), Protocol: platform.Protocol{}, Store: store, Caches: platform.NewCacheLists(), Duties: platform.Duties(s.Duties), DutyStore: store})
}
