package standin

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestturn/goldcrestturn/internal/instances"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/program"
	"github.com/goldcrestturn/goldcrestturn/internal/settings"
)

// Roles of a stand-in process.
const (
	rolePlatform = "platform" // log service, instance list and weight store
	roleEngine   = "engine"
	roleService  = "service"
)

// Settings are the settings of one stand-in process.
type Settings struct {
	Role      string
	Listen    string
	Log       LogConfig
	Weights   WeightConfig
	Engine    EngineConfig
	Instances []instances.Instance // initial content of the instance list
}

// Limits and defaults of the settings.
const (
	defaultTokenTime      = 5 * time.Millisecond
	maxDuration           = time.Hour
	maxCount              = 1 << 40
	instanceSectionPrefix = "instance "
	// defaultCacheTokens is enough for some hundred long chats.
	defaultCacheTokens = 2 << 20
	// defaultAppendRate, in appends per second, is below the several hundred per
	// second that the platform's log service accepts.
	defaultAppendRate = 400
)

// LoadSettings reads the settings of a stand-in. Its error lists all invalid
// settings.
func LoadSettings(path string) (Settings, error) {
	f, err := settings.Open(path)
	if err != nil {
		return Settings{}, err
	}
	s := Settings{
		Role:   f.OneOf("standin", "role", "", rolePlatform, roleEngine, roleService),
		Listen: f.Address("standin", "listen"),
	}
	seed := uint64(f.Int("standin", "seed", 1, 0, maxCount))
	switch s.Role {
	case rolePlatform:
		s.Log, s.Weights = readLog(f, seed), readWeights(f)
	case roleEngine:
		s.Engine = readEngine(f, seed)
	}
	for _, section := range f.Sections() {
		if name, ok := strings.CutPrefix(section, instanceSectionPrefix); ok {
			s.Instances = append(s.Instances, readInstance(f, section, name))
		}
	}
	return s, f.Err()
}

func readLog(f *settings.File, seed uint64) LogConfig {
	return LogConfig{
		RetainAge:   f.Duration("log", "retain_age", 0, 0, 365*24*time.Hour),
		RetainCount: int(f.Int("log", "retain_count", 0, 0, maxCount)),
		AppendRate:  f.Float("log", "append_rate", defaultAppendRate, 0, maxCount),
		Seed:        seed,
	}
}

func readWeights(f *settings.File) WeightConfig {
	return WeightConfig{
		LoadsPerMinute: f.Float("weights", "loads_per_minute", 0, 0, maxCount),
		LoadTime:       f.Duration("weights", "load_time", 0, 0, maxDuration),
	}
}

func readEngine(f *settings.File, seed uint64) EngineConfig {
	cfg := EngineConfig{
		Version:       model.Version(f.String("engine", "version", "v1")),
		TokenTime:     f.Duration("engine", "token_time", defaultTokenTime, 0, maxDuration),
		PrefillTime:   f.Duration("engine", "prefill_time", 0, 0, maxDuration),
		Slots:         int(f.Int("engine", "slots", 0, 0, maxCount)),
		BatchSlowdown: f.Float("engine", "batch_slowdown", 0, 0, maxCount),
		CacheTokens:   f.Int("engine", "cache_tokens", defaultCacheTokens, 0, maxCount),
		StartCold:     f.Bool("engine", "start_cold", false),
		ColdTime:      f.Duration("engine", "cold_time", 0, 0, maxDuration),
		ColdLimit:     f.Int("engine", "cold_bears", 0, 0, maxCount),
		WarmAfter:     int(f.Int("engine", "warm_after", defaultWarmAfter, 1, maxCount)),
		LoadLag:       f.Duration("engine", "load_lag", 0, 0, maxDuration),
		EventLag:      f.Duration("engine", "event_lag", 0, 0, maxDuration),
		EventGap:      f.Int("engine", "event_gap", 0, 0, maxCount),
		IgnoresFence:  f.Bool("engine", "ignores_fence", false),
		Seed:          seed,
	}
	if base := f.String("engine", "weight_store", ""); base != "" {
		cfg.Weights = remoteWeights{base}
	}
	return cfg
}

func readInstance(f *settings.File, section, name string) instances.Instance {
	return instances.Instance{
		ID:         model.InstanceID(name),
		Role:       instances.Role(f.OneOf(section, "role", "", string(instances.RoleEntry), string(instances.RoleEndpoint))),
		Kind:       model.EndpointKind(f.String(section, "kind", "")),
		Pool:       model.Pool(f.String(section, "pool", "")),
		Version:    model.Version(f.String(section, "version", "")),
		DataCentre: model.DataCentre(f.Required(section, "data_centre")),
		Address:    f.Address(section, "address"),
		Control:    f.Address(section, "control"),
		Admin:      f.OptionalAddress(section, "admin"),
		Status:     instances.Live,
	}
}

// Run serves the stand-in with the given settings until ctx ends.
func Run(ctx context.Context, log *slog.Logger, s Settings) error {
	g, ctx := errgroup.WithContext(ctx) // an error in one goroutine stops the others
	log.Info("started", "role", s.Role, "listen", s.Listen)
	switch s.Role {
	case roleEngine:
		engine := NewEngineWith(s.Engine)
		g.Go(func() error { engine.Run(ctx); return nil })
		g.Go(func() error { return engine.Serve(ctx, s.Listen) })
	case roleService:
		service := NewService()
		g.Go(func() error { service.Run(ctx); return nil })
		g.Go(func() error { return serve(ctx, s.Listen, service.Handler()) })
	case rolePlatform:
		h := startPlatform(ctx, g, s)
		g.Go(func() error { return serve(ctx, s.Listen, h) })
	}
	return g.Wait()
}

// serve serves h at address until ctx ends.
func serve(ctx context.Context, address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "standin: address cannot be used")
	}
	srv := program.NewServer(h)
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(listener); err != nil && ctx.Err() == nil {
		return eris.Wrap(err, "standin: server failed")
	}
	return nil
}

// startPlatform starts the log service, the instance list and the weight store
// in g and returns their common handler.
func startPlatform(ctx context.Context, g *errgroup.Group, s Settings) http.Handler {
	logs, list := NewLogServiceWith(s.Log), NewInstanceList()
	store, weights := NewWeightStore(s.Weights)
	g.Go(func() error { logs.Run(ctx); return nil })
	g.Go(func() error { list.Run(ctx); return nil })
	g.Go(func() error { store.Run(ctx); return nil })
	g.Go(func() error {
		for _, in := range s.Instances {
			if err := list.Put(ctx, in); err != nil {
				return err
			}
		}
		return nil
	})
	mux := http.NewServeMux()
	for name, h := range map[string]http.Handler{"log": logs.Handler(), "list": list.Handler(), "weights": store.Handler(weights)} {
		mux.Handle("/"+name+"/faults", http.StripPrefix("/"+name, h))
		mux.Handle("/"+name+"/stats", http.StripPrefix("/"+name, h))
	}
	mux.Handle("/streams/", logs.Handler())
	mux.Handle("/instances", list.Handler())
	mux.Handle("/weights/{item}", store.Handler(weights))
	return mux
}
