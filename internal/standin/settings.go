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
	rolePlatform = "platform" // log service and instance list
	roleEngine   = "engine"
	roleService  = "service"
)

// Settings are the settings of one stand-in process.
type Settings struct {
	Role      string
	Listen    string
	Version   model.Version
	TokenTime time.Duration
	Instances []instances.Instance // first content of the instance list
}

const (
	defaultTokenTime = 5 * time.Millisecond
	maxTokenTime     = 10 * time.Second
	instanceSection  = "instance "
)

// LoadSettings reads the settings of a stand-in and reports all faults together.
func LoadSettings(path string) (Settings, error) {
	f, err := settings.Open(path)
	if err != nil {
		return Settings{}, err
	}
	s := Settings{
		Role:      f.OneOf("standin", "role", "", rolePlatform, roleEngine, roleService),
		Listen:    f.Address("standin", "listen"),
		Version:   model.Version(f.String("standin", "version", "v1")),
		TokenTime: f.Duration("standin", "token_time", defaultTokenTime, 0, maxTokenTime),
	}
	for _, section := range f.Sections() {
		if name, ok := strings.CutPrefix(section, instanceSection); ok {
			s.Instances = append(s.Instances, readInstance(f, section, name))
		}
	}
	return s, f.Err()
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

// Run serves the stand-in of the given settings until ctx ends.
func Run(ctx context.Context, log *slog.Logger, s Settings) error {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return eris.Wrap(err, "standin: address cannot be used")
	}
	var g errgroup.Group
	var h http.Handler
	switch s.Role {
	case rolePlatform:
		h = startPlatform(ctx, &g, s)
	case roleEngine:
		h = NewEngine(s.Version, s.TokenTime).Handler()
	case roleService:
		h = NewService().Handler()
	}
	log.Info("started", "role", s.Role, "listen", listener.Addr().String())
	g.Go(func() error { return program.Serve(ctx, program.NewServer(h), listener, time.Second) })
	return g.Wait()
}

func startPlatform(ctx context.Context, g *errgroup.Group, s Settings) http.Handler {
	logs, list := NewLogService(), NewInstanceList()
	g.Go(func() error { logs.Run(ctx); return nil })
	g.Go(func() error { list.Run(ctx); return nil })
	g.Go(func() error {
		for _, in := range s.Instances {
			if err := list.Put(ctx, in); err != nil {
				return err
			}
		}
		return nil
	})
	mux := http.NewServeMux()
	mux.Handle("/streams/", logs.Handler())
	mux.Handle("/instances", list.Handler())
	return mux
}
