package doctest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const root = "../.."

// programs maps the headings of docs/OPERATIONS.md to the package that reads
// the settings and flags below them.
var programs = map[string]string{
	"goldcrest-entry": "entry", "goldcrest-side": "side", "goldcrest-router": "router", "goldcrest-standin": "standin",
	"goldcrest-load": "load", "goldcrestctl": "ctl", "Lists": "lists", "Flags of all daemons": "program",
}

// readers are the functions that read a setting, with the position of the
// section, which the key follows.
var readers = map[string]int{
	"Required": 0, "String": 0, "OneOf": 0, "Address": 0, "OptionalAddress": 0, "Addresses": 0,
	"List": 0, "Duration": 0, "Int": 0, "Float": 0, "Bool": 0,
	"milliseconds": 1, "number": 1, "decimal": 1, "span": 1, "oneOf": 1, "yes": 1,
}

// writers are the packages that write their prefix without a logger.
var writers = []string{"invariant", "load", "ctl"}

// flagMethods are the methods of flag.FlagSet by the position of the name.
var flagMethods = map[string]int{
	"StringVar": 1, "BoolVar": 1, "IntVar": 1, "DurationVar": 1, "Float64Var": 1,
	"String": 0, "Bool": 0, "Int": 0, "Duration": 0, "Float64": 0, "Int64Var": 1,
}

var (
	metricName = regexp.MustCompile(`goldcrest_[a-z_]+[a-z]`)
	prefixName = regexp.MustCompile(`^[a-z]+: `)
	settingRow = regexp.MustCompile("^\\| `\\[([^\\]]+)\\]` \\| `([a-z_]+)` \\|")
	flagRow    = regexp.MustCompile("^\\| `-([a-z-]+)` \\|")
	prefixRow  = regexp.MustCompile("^\\| `([a-z]+: )` \\|")
	lineRow    = regexp.MustCompile("^\\| `([a-z][^`]*)` \\|")
)

// facts are what the code or the documents name, as "package [section] key",
// "package -flag", metric names, log prefixes and log lines of the router.
type facts struct{ settings, flags, metrics, prefixes, lines map[string]bool }

func newFacts() facts {
	return facts{map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}}
}

// linesHeading is the section of docs/OPERATIONS.md with the lines that the
// package of the router logs.
const linesHeading = "Log lines of the router"

func literal(e ast.Expr) (string, bool) {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	s, err := strconv.Unquote(lit.Value)
	return s, err == nil
}

func codeFacts(t *testing.T) facts {
	t.Helper()
	out := newFacts()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		pkg := filepath.Base(filepath.Dir(path))
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.CallExpr:
				out.call(pkg, n)
			case *ast.CompositeLit:
				out.keysOfMap(pkg, n)
			case *ast.BasicLit:
				if s, ok := literal(n); ok {
					for _, m := range metricName.FindAllString(s, -1) {
						out.metrics[m] = true
					}
				}
			}
			return true
		})
		return nil
	})
	is.New(t).NoErr(err)
	return out
}

// call notes a read of a setting, a flag or a log prefix.
func (f facts) call(pkg string, c *ast.CallExpr) {
	name := ""
	switch fun := c.Fun.(type) {
	case *ast.SelectorExpr:
		name = fun.Sel.Name
		receiver, _ := fun.X.(*ast.Ident)
		f.line(pkg, fun, c)
		if at, ok := flagMethods[name]; ok && receiver != nil && receiver.Name == "fs" && len(c.Args) > at {
			if flag, ok := literal(c.Args[at]); ok {
				f.flags[pkg+" -"+flag] = true
			}
			return
		}
	case *ast.Ident:
		name = fun.Name
	}
	f.prefix(pkg, name, c)
	at, reads := readers[name]
	if !reads || len(c.Args) < at+2 || !slices.Contains(slices.Collect(maps.Values(programs)), pkg) {
		return
	}
	key, ok := literal(c.Args[at+1])
	if !ok {
		return
	}
	section, ok := literal(c.Args[at])
	if !ok {
		section = "NAME"
	}
	f.settings[pkg+" ["+section+"] "+key] = true
}

// line notes a line that the router logs.
func (f facts) line(pkg string, fun *ast.SelectorExpr, c *ast.CallExpr) {
	logger, ok := fun.X.(*ast.SelectorExpr)
	if pkg != "router" || !ok || logger.Sel.Name != "log" || len(c.Args) == 0 {
		return
	}
	if s, ok := literal(c.Args[0]); ok {
		f.lines[s] = true
	}
}

// prefix notes the log prefix that a call sets up or writes.
func (f facts) prefix(pkg, name string, c *ast.CallExpr) {
	for _, a := range c.Args {
		s, ok := literal(a)
		if !ok {
			continue
		}
		switch name {
		case "Main", "WithPrefix", "Logger":
			if prefixName.FindString(s) == s && s != "" {
				f.prefixes[s] = true
			}
		case "Error", "Errorf", "Fprintf":
			if p := prefixName.FindString(s); slices.Contains(writers, pkg) && p == pkg+": " {
				f.prefixes[p] = true
			}
		}
	}
}

// keysOfMap notes the keys that goldcrestctl reads in a loop over a map of
// pointers.
func (f facts) keysOfMap(pkg string, c *ast.CompositeLit) {
	m, ok := c.Type.(*ast.MapType)
	if !ok || pkg != "ctl" {
		return
	}
	if _, pointers := m.Value.(*ast.StarExpr); !pointers {
		return
	}
	for _, e := range c.Elts {
		if key, ok := literal(e.(*ast.KeyValueExpr).Key); ok {
			f.settings["ctl [ctl] "+key] = true
		}
	}
}

func docFacts(t *testing.T) facts {
	t.Helper()
	out := newFacts()
	paths, err := filepath.Glob(filepath.Join(root, "docs", "operations", "*.md"))
	is.New(t).NoErr(err)
	for _, path := range append(paths, filepath.Join(root, "docs", "OPERATIONS.md")) {
		data, err := os.ReadFile(path)
		is.New(t).NoErr(err)
		pkg, heading := "", ""
		for line := range strings.SplitSeq(string(data), "\n") {
			if h, ok := strings.CutPrefix(line, "## "); ok {
				pkg, heading = programs[h], h
			}
			if m := lineRow.FindStringSubmatch(line); m != nil && heading == linesHeading {
				out.lines[m[1]] = true
			}
			for _, m := range metricName.FindAllString(line, -1) {
				out.metrics[m] = true
			}
			if m := settingRow.FindStringSubmatch(line); m != nil && pkg != "" {
				section := m[1]
				if strings.HasSuffix(section, " NAME") {
					section = "NAME"
				}
				out.settings[pkg+" ["+section+"] "+m[2]] = true
			}
			if m := flagRow.FindStringSubmatch(line); m != nil && pkg != "" {
				out.flags[pkg+" -"+m[1]] = true
			}
			if m := prefixRow.FindStringSubmatch(line); m != nil {
				out.prefixes[m[1]] = true
			}
		}
	}
	return out
}

// Guards against a page that names a test which no longer exists.
func TestDocumentsNameTestsThatExist(t *testing.T) {
	is := is.New(t)
	name := regexp.MustCompile(`\bTest[A-Z]\w+`)
	function := regexp.MustCompile(`(?m)^func (Test[A-Z]\w+)\(`)
	exist := map[string]bool{}
	named := map[string]string{}
	is.NoErr(filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		inDocs := strings.HasPrefix(path, filepath.Join(root, "docs")) && strings.HasSuffix(path, ".md")
		if !inDocs && !strings.HasSuffix(path, "_test.go") {
			return nil
		}
		data, err := os.ReadFile(path)
		for _, m := range function.FindAllStringSubmatch(string(data), -1) {
			exist[m[1]] = exist[m[1]] || !inDocs
		}
		if inDocs {
			for _, n := range name.FindAllString(string(data), -1) {
				named[n] = path
			}
		}
		return err
	}))
	for n, path := range named {
		if !exist[n] {
			t.Errorf("%s names %s, which does not exist", path, n)
		}
	}
	is.True(len(named) > 0)
}

// Guards against documents that lack a setting, flag, list key, metric or log
// prefix of the code, or name one that the code does not have.
func TestDocumentsMatchTheCode(t *testing.T) {
	code, docs := codeFacts(t), docFacts(t)
	for _, kind := range []struct {
		name       string
		code, docs map[string]bool
	}{
		{"setting", code.settings, docs.settings},
		{"flag", code.flags, docs.flags},
		{"metric", code.metrics, docs.metrics},
		{"log prefix", code.prefixes, docs.prefixes},
		{"log line", code.lines, docs.lines},
	} {
		if len(kind.code) == 0 {
			t.Errorf("no %s was found in the code", kind.name)
		}
		for _, item := range slices.Sorted(maps.Keys(kind.code)) {
			if !kind.docs[item] {
				t.Errorf("%s %q is not in docs/OPERATIONS.md or docs/operations/*.md", kind.name, item)
			}
		}
		for _, item := range slices.Sorted(maps.Keys(kind.docs)) {
			if !kind.code[item] {
				t.Errorf("%s %q is in the documents but not in the code", kind.name, item)
			}
		}
	}
}
