package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// purePackages contain decision logic. They must not read the clock, open a
// socket or use hidden randomness.
var purePackages = []string{
	"admission", "admit", "catalog", "choose", "claim", "config", "duty", "finding", "hrw", "inbound", "limit", "lists",
	"locality", "member", "model", "order", "overlay", "pipe", "place", "replay", "retry", "rollout", "slots",
	"summary", "suspect", "timing",
}

// bannedImports must not appear outside tests: processes do not start other
// processes, and no ready-made proxy is used.
var bannedImports = []string{"os/exec", "net/http/httputil"}

// sourceFile is a parsed Go file that is not a test.
type sourceFile struct {
	path string
	pkg  string
	file *ast.File
}

func parseSources(t *testing.T) []sourceFile {
	t.Helper()
	is := is.New(t)
	var out []sourceFile
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		out = append(out, sourceFile{path: path, pkg: filepath.Base(filepath.Dir(path)), file: f})
		return err
	})
	is.NoErr(err)
	return out
}

func imports(f *ast.File) []string {
	var out []string
	for _, im := range f.Imports {
		p, _ := strconv.Unquote(im.Path.Value)
		out = append(out, p)
	}
	return out
}

// selects reports whether f contains the selector pkg.name, such as time.Now.
func selects(f *ast.File, pkg, name string) bool {
	found := false
	ast.Inspect(f, func(n ast.Node) bool {
		sel, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		x, ok := sel.X.(*ast.Ident)
		found = found || ok && x.Name == pkg && sel.Sel.Name == name
		return true
	})
	return found
}

// Guards against decision packages that read the clock, open a socket or use
// hidden randomness, because their tests would then depend on the machine.
func TestDecisionPackagesArePure(t *testing.T) {
	is := is.New(t)
	for _, s := range parseSources(t) {
		if !slices.Contains(purePackages, s.pkg) {
			continue
		}
		for _, im := range imports(s.file) {
			is.True(im != "net" && im != "net/http" && im != "net/rpc" && im != "math/rand" && im != "crypto/rand") // s.path
		}
		for _, name := range []string{"Now", "Since", "Sleep", "After", "NewTimer", "NewTicker"} {
			if selects(s.file, "time", name) {
				t.Errorf("%s: decision package calls time.%s", s.path, name)
			}
		}
	}
}

// Guards against control state that is shared under a lock instead of being
// owned by the control goroutine, and against sleeping instead of waiting for an
// event.
func TestNoMutexAndNoSleep(t *testing.T) {
	for _, s := range parseSources(t) {
		for _, name := range []string{"Mutex", "RWMutex", "Map"} {
			if selects(s.file, "sync", name) {
				t.Errorf("%s: uses sync.%s", s.path, name)
			}
		}
		if selects(s.file, "time", "Sleep") {
			t.Errorf("%s: calls time.Sleep", s.path)
		}
	}
}

// Guards against more than one control goroutine in a program.
func TestOneControlLoopPerProgram(t *testing.T) {
	loops := map[string]int{}
	for _, s := range parseSources(t) {
		if (s.pkg == "entry" || s.pkg == "side" || s.pkg == "router") && selects(s.file, "control", "New") {
			loops[s.pkg]++
		}
	}
	is.New(t).Equal(loops, map[string]int{"entry": 1, "side": 1, "router": 1})
}

// Guards against imports that the platform does not allow.
func TestBannedImports(t *testing.T) {
	for _, s := range parseSources(t) {
		for _, im := range imports(s.file) {
			if slices.Contains(bannedImports, im) {
				t.Errorf("%s: imports %s", s.path, im)
			}
		}
	}
}

// platformProtocolNames are parts of names that the platform's protocol defines.
var platformProtocolNames = []string{"X-Goldcrestturn", "goldcrestturn/", "Kv-Fetch", "PathPrefix", "ColdLeftMs", "keyed."}

// Guards against names of the platform outside its adapter in platform.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	for _, s := range parseSources(t) {
		if strings.Contains(filepath.ToSlash(s.path), "/platform/") {
			continue
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			lit, ok := n.(*ast.BasicLit)
			if !ok || lit.Kind != token.STRING || strings.Contains(lit.Value, "github.com/") {
				return true
			}
			for _, name := range platformProtocolNames {
				if strings.Contains(lit.Value, name) {
					t.Errorf("%s: names %q", s.path, name)
				}
			}
			return true
		})
	}
}
