package router_test

import (
	"maps"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/router"
)

// Guards against a settings template for the users' platform that lacks settings
// which routers read, and against a metrics port that differs from the one in
// system.toml.
func TestSettingsFromTemplate(t *testing.T) {
	is := is.New(t)
	s := fillTemplate(t, map[string]string{
		"Bounds.GraceS": "8", "Bounds.RevokeMs": "5000", "Bounds.StrictRevoke": "true", "Bounds.RetryRatio": "0.2",
		"Bounds.RetryBurst": "58", "Bounds.RetryWindowS": "10", "Bounds.DrainMs": "4000",
		"CloudApi.Address": "10.200.1.8:8070", "CloudApi.Duties": "metering,autoscale", "Bounds.LeaseMs": "3000", "Bounds.ThawMs": "300", "Bounds.ReportWindowS": "5", "Bounds.UsageDelayS": "10",
		"Bounds.ExposureShare": "0.05", "Bounds.ExposureTolerance": "40", "Bounds.RollbackMs": "4000",
	})
	is.Equal(s.Duties, router.DutySettings{Address: "10.200.1.8:8070", Names: []string{"metering", "autoscale"}, Lease: 3 * time.Second, Thaw: 300 * time.Millisecond, Window: 5 * time.Second, Delay: 10 * time.Second})
	is.Equal(s.Exposure, 0.05)
	is.Equal(s.ExposureOver, 40.0)
	is.Equal(s.Rollback, 4*time.Second)
	is.Equal(s.Grace, 8*time.Second)
	is.Equal(s.Revoke, 5*time.Second)
	is.Equal(s.RetryBurst, 58.0)
	is.Equal(s.ListInterval, time.Second) // a quarter of the drain time
	is.Equal(s.RetryWindow, 10*time.Second)
	is.Equal(len(s.Regions), 2)
	is.Equal(s.Contracts, []string{"base", "pool", "platform"})
	_, port, err := net.SplitHostPort(s.Metrics)
	is.NoErr(err)
	system, err := os.ReadFile(filepath.Join("..", "..", "deploy", "system.toml"))
	is.NoErr(err)
	is.True(strings.Contains(string(system), `metrics = "`+port+`/metrics"`))
}

// Guards against routers that do not start on a deployment whose bounds are not
// whole seconds or are missing.
func TestSettingsFromTemplateWithOtherBounds(t *testing.T) {
	is := is.New(t)
	is.Equal(fillTemplate(t, map[string]string{"Bounds.GraceS": "8.5", "Bounds.RetryWindowS": "2.5"}).Grace, 8500*time.Millisecond)
	s := fillTemplate(t, nil)
	is.Equal(s.Grace, 8*time.Second)
	is.Equal(s.Duties.Address, "")
	is.Equal(s.Duties.Lease, 3*time.Second)
	is.Equal(s.Exposure, 0.1)
}

// fillTemplate fills in the template as the platform does and loads the result.
func fillTemplate(t *testing.T, bounds map[string]string) router.Settings {
	t.Helper()
	is := is.New(t)
	template, err := os.ReadFile(filepath.Join("..", "..", "deploy", "router.ini.tmpl"))
	is.NoErr(err)
	text := regexp.MustCompile(`(?s)\{\{#Zones\}\}\{\{@\}\}\{\{,\}\}\{\{/Zones\}\}`).ReplaceAllString(string(template), "a,b")
	text = regexp.MustCompile(`(?s)\{\{#Zones\}\}.*\{\{/Zones\}\}`).ReplaceAllString(text, "a = north\nb = south\n")
	values := map[string]string{
		"NodeName": "edge-a-1", "Zone": "a", "Listen.Frontend": "10.1.0.1:8227", "Listen.Ready": "10.1.0.1:8220", "Ip": "10.1.0.1",
		"InternalPorts.0": "7340", "Bootstrap": "true", "Limits.MemoryMb": "184", "Limits.MaxFds": "4100", "Platform.Address": "10.200.1.7:8065",
		"Contracts": "base,pool,platform", "CloudApi.Address": "", "CloudApi.Duties": "",
		"Bounds.LeaseMs": "", "Bounds.ThawMs": "", "Bounds.ReportWindowS": "", "Bounds.UsageDelayS": "",
		"Bounds.GraceS": "", "Bounds.RevokeMs": "", "Bounds.StrictRevoke": "", "Bounds.RetryRatio": "",
		"Bounds.RetryBurst": "", "Bounds.RetryWindowS": "", "Bounds.DrainMs": "",
		"Bounds.ExposureShare": "", "Bounds.ExposureTolerance": "", "Bounds.RollbackMs": "",
	}
	maps.Copy(values, bounds)
	fill := func(name, value string) {
		section := regexp.MustCompile(`\{\{#` + regexp.QuoteMeta(name) + `\}\}(.*?)\{\{/` + regexp.QuoteMeta(name) + `\}\}`)
		text = section.ReplaceAllStringFunc(text, func(all string) string {
			if value == "" {
				return ""
			}
			return strings.ReplaceAll(section.FindStringSubmatch(all)[1], "{{.}}", value)
		})
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	for name, value := range values {
		fill(name, value)
	}
	is.True(!strings.Contains(text, "{{")) // a placeholder without a value
	path := filepath.Join(t.TempDir(), "router.ini")
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	s, err := router.LoadSettings(path)
	is.NoErr(err)
	return s
}
