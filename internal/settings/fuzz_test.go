package settings_test

import (
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/settings"
)

// Guards against a panic, or a value outside its range, from a malformed file.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[entry]\nlisten = 127.0.0.1:7000\ndrain_time = 10s\nshare = 0.5\n"))
	f.Add([]byte("[entry]\nlisten = localhost:7000\ndrain_time = -1s\nshare = NaN\n[entry]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("f.ini", data)
		if err != nil {
			return
		}
		s.Address("entry", "listen")
		d := s.Duration("entry", "drain_time", time.Minute, time.Second, time.Hour)
		share := s.Float("entry", "share", 0, 0, 1)
		if s.Err() == nil && (d < time.Second || d > time.Hour || !(share >= 0 && share <= 1)) {
			t.Fatalf("accepted values are out of range: %s %g", d, share)
		}
	})
}

// Guards against a duplicate section or key that silently replaces the first
// one.
func TestDuplicateKeyIsAFinding(t *testing.T) {
	s, err := settings.Parse("f.ini", []byte("[entry]\nlisten = 127.0.0.1:1\nlisten = 127.0.0.1:2\n"))
	if err != nil {
		t.Fatal(err)
	}
	s.Address("entry", "listen")
	if got, want := s.Err().Error(), "f.ini:3: [entry] listen: occurs twice (allowed: once)"; got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}
