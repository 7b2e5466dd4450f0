package lists_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
)

func example(t testing.TB, user string) (plans, usage lists.File) {
	t.Helper()
	dir := filepath.Join("..", "..", "examples", user)
	read := func(name string) lists.File {
		data, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		return lists.File{Name: name, Data: data}
	}
	return read(lists.PlansFile), read(lists.UsageFile)
}

// Guards against example lists that an operator cannot apply.
func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	for user, centres := range map[string]int{"kauri": 3, "kalesa": 4} {
		l, err := lists.Parse(example(t, user))
		is.NoErr(err)
		is.Equal(len(l.DataCentres), centres)
		is.Equal(len(l.Workspaces), 10)
	}
}

// Guards against a check that stops at the first finding, and against a finding
// without its file, line, section or key.
func TestAllFindingsAreReportedTogether(t *testing.T) {
	is := is.New(t)
	plans, usage := example(t, "kauri")
	edit := func(data []byte, old, new string) []byte {
		is.True(strings.Contains(string(data), old))
		return []byte(strings.Replace(string(data), old, new, 1))
	}
	plans.Data = edit(plans.Data, "rate = 40000", "rate = -1")
	plans.Data = edit(plans.Data, "[workspace docs]\nplan = trial", "[workspace docs]\nplan = gone")
	plans.Data = append(plans.Data, "\n[workspace twin]\nplan = staff\nkey_hash = d9b1a5ae9ecb6b0ea3b8fc9ad0f2d2d3\n[workspace docs]\n"...)
	usage.Data = edit(usage.Data, "honours_fence = yes\n", "")
	usage.Data = edit(usage.Data, "load_multiple = 1.25", "load_multiple = 0.5")
	usage.Data = edit(usage.Data, "[route tracker/assign]\npool = tracker", "[route tracker/assign]\npool = tickets\ncolour = red")
	usage.Data = edit(usage.Data, "[route chat]\npool = summaries\nidempotent = yes", "")
	usage.Data = edit(usage.Data, "state = in", "state = maybe")
	_, err := lists.Parse(plans, usage)
	is.True(err != nil)
	for _, want := range []string{
		`plans.ini:6: [plan staff] rate: has the value "-1"`,
		`[workspace docs] plan: names the unknown plan "gone" (allowed: build, staff, trial)`,
		`[workspace docs] occurs twice`,
		`[workspace twin] key_hash: has the value`,
		`[pool summaries] honours_fence: is missing`,
		`usage.ini:7: [pool summaries] load_multiple: has the value "0.5" (allowed: a number from 1 to 10)`,
		`[route tracker/assign] pool: names the unknown pool "tickets" (allowed: summaries, tracker)`,
		`[route tracker/assign] colour: is not a known key`,
		`[pool summaries] has no route`,
		`[data-centre akl-1] state: has the value "maybe" (allowed: in, out)`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("finding %q is missing in:\n%s", want, err)
		}
	}
}

// Guards against two workspaces that share an API key.
func TestDuplicateKeyIsFound(t *testing.T) {
	is := is.New(t)
	plans, usage := example(t, "kauri")
	l, err := lists.Parse(plans, usage)
	is.NoErr(err)
	hash := l.Workspaces["docs"].KeyHash
	plans.Data = append(plans.Data, "\n[workspace twin]\nplan = staff\nkey_hash = "+hash+"\n"...)
	_, err = lists.Parse(plans, usage)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), `[workspace twin] key_hash: is also held by workspace "docs"`))
}

// Guards against a diff whose changes do not lead to the target lists.
func TestDiffThenApplyGivesTheTargetLists(t *testing.T) {
	is := is.New(t)
	from, err := lists.Parse(example(t, "kauri"))
	is.NoErr(err)
	to, err := lists.Parse(example(t, "kalesa"))
	is.NoErr(err)
	changes, err := lists.Diff(from, to)
	is.NoErr(err)
	got, err := from.Apply(changes)
	is.NoErr(err)
	is.Equal(got, to)
	is.Equal(len(got.Check()), 0)
}

// Guards against a malformed file that causes a panic or is parsed to invalid
// lists.
func FuzzParse(f *testing.F) {
	for _, user := range []string{"kauri", "kalesa"} {
		plans, usage := example(f, user)
		f.Add(plans.Data, usage.Data)
	}
	f.Add([]byte("[plan a]\nrate = 1\n[plan a]\n"), []byte("[pool b]\nkind"))
	f.Fuzz(func(t *testing.T, plans, usage []byte) {
		l, err := lists.Parse(lists.File{Name: "p", Data: plans}, lists.File{Name: "u", Data: usage})
		if err == nil && len(l.Check()) > 0 {
			t.Fatalf("accepted lists are invalid: %v", l.Check())
		}
	})
}
