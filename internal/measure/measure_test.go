package measure

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

var (
	seed     = flag.Uint64("seed", 0, "seed of the scenarios; 0 runs none")
	only     = flag.String("only", "", "run only the scenarios whose name starts with this")
	knownRed = flag.String("known-red", "", "file with known misses that do not fail the run")
)

// Guards against two scenarios whose figures have the same name in the output.
func TestScenarioNamesAreUnique(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, s := range Scenarios() {
		is.True(!seen[s.Name])
		seen[s.Name] = true
	}
}

// TestMeasure prints all figures and fails if one misses its target. "make
// measure" runs it without the race detector, which would make it ten times
// slower; .ci/run runs it for a fixed list of seeds.
func TestMeasure(t *testing.T) {
	if *seed == 0 {
		return
	}
	env := Env{Seed: *seed, Bubble: func(f func()) {
		synctest.Test(t, func(*testing.T) { f() })
	}}
	knownMisses := readKnownRed(t, *knownRed)
	for _, name := range Run(os.Stdout, env, *only) {
		if slices.Contains(knownMisses, name) {
			fmt.Printf("known red, passed over: %s\n", name)
			continue
		}
		t.Errorf("target missed: %s", name)
	}
}

// readKnownRed returns the figures listed as "figure NAME ..." in the file.
func readKnownRed(t *testing.T, path string) []string {
	if path == "" {
		return nil
	}
	f, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil
	}
	is.New(t).NoErr(err)
	defer f.Close()
	var names []string
	for s := bufio.NewScanner(f); s.Scan(); {
		if fields := strings.Fields(s.Text()); len(fields) > 1 && fields[0] == "figure" {
			names = append(names, fields[1])
		}
	}
	return names
}
