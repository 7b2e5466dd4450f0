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

// packageOfHeading maps headings of docs/OPERATIONS.md to the package that reads
// the settings and flags listed below them.
var packageOfHeading = map[string]string{
	"goldcrest-entry": "entry", "goldcrest-side": "side", "goldcrest-router": "router", "goldcrest-standin": "standin",
	"goldcrest-load": "load", "goldcrestctl": "ctl", "Lists": "lists", "Flags of all daemons": "program",
}

// settingReaders maps the functions that read a setting to the index of the
// argument with the section. The next argument is the key.
var settingReaders = map[string]int{
	"Required": 0, "String": 0, "OneOf": 0, "Address": 0, "OptionalAddress": 0, "Addresses": 0,
	"List": 0, "Duration": 0, "Int": 0, "Float": 0, "Bool": 0,
	"milliseconds": 1, "number": 1, "decimal": 1, "duration": 1, "oneOf": 1, "yesNo": 1,
}

// packagesWithoutLogger are the packages that print their log prefix themselves.
var packagesWithoutLogger = []string{"invariant", "load", "ctl"}

// flagMethods maps the methods of flag.FlagSet that define a flag to the index of
// the argument with its name.
var flagMethods = map[string]int{
	"StringVar": 1, "BoolVar": 1, "IntVar": 1, "DurationVar": 1, "Float64Var": 1,
	"String": 0, "Bool": 0, "Int": 0, "Duration": 0, "Float64": 0, "Int64Var": 1,
}

var (
	metricName   = regexp.MustCompile(`goldcrest_[a-z_]+[a-z]`)
	prefixName   = regexp.MustCompile(`^[a-z]+: `)
	settingRow   = regexp.MustCompile("^\\| `\\[([^\\]]+)\\]` \\| `([a-z_]+)` \\|")
	flagRow      = regexp.MustCompile("^\\| `-([a-z-]+)` \\|")
	logPrefixRow = regexp.MustCompile("^\\| `([a-z]+: )` \\|")
	logLineRow   = regexp.MustCompile("^\\| `([a-z][^`]*)` \\|")
)

// inventory holds what the code defines or the documents describe: settings as
// "package [section] key", flags as "package -flag", metric names, log prefixes
// and log lines of the router.
type inventory struct{ settings, flags, metrics, logPrefixes, logLines map[string]bool }

func newInventory() inventory {
	return inventory{map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}}
}

// logLinesHeading is the heading of docs/OPERATIONS.md above the log lines of the
// router package.
const logLinesHeading = "Log lines of the router"

func stringLiteral(e ast.Expr) (string, bool) {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	s, err := strconv.Unquote(lit.Value)
	return s, err == nil
}

func codeInventory(t *testing.T) inventory {
	t.Helper()
	out := newInventory()
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
				out.addCall(pkg, n)
			case *ast.CompositeLit:
				out.addMapKeys(pkg, n)
			case *ast.BasicLit:
				if s, ok := stringLiteral(n); ok {
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

// addCall adds the setting, flag, log line or log prefix that a call defines.
func (inv inventory) addCall(pkg string, c *ast.CallExpr) {
	name := ""
	switch fun := c.Fun.(type) {
	case *ast.SelectorExpr:
		name = fun.Sel.Name
		receiver, _ := fun.X.(*ast.Ident)
		inv.addLogLine(pkg, fun, c)
		if index, ok := flagMethods[name]; ok && receiver != nil && receiver.Name == "fs" && len(c.Args) > index {
			if flag, ok := stringLiteral(c.Args[index]); ok {
				inv.flags[pkg+" -"+flag] = true
			}
			return
		}
	case *ast.Ident:
		name = fun.Name
	}
	inv.addLogPrefix(pkg, name, c)
	index, reads := settingReaders[name]
	if !reads || len(c.Args) < index+2 || !slices.Contains(slices.Collect(maps.Values(packageOfHeading)), pkg) {
		return
	}
	key, ok := stringLiteral(c.Args[index+1])
	if !ok {
		return
	}
	section, ok := stringLiteral(c.Args[index])
	if !ok {
		section = "NAME"
	}
	inv.settings[pkg+" ["+section+"] "+key] = true
}

// addLogLine adds the message of a call that logs a line in the router.
func (inv inventory) addLogLine(pkg string, fun *ast.SelectorExpr, c *ast.CallExpr) {
	logger, ok := fun.X.(*ast.SelectorExpr)
	if pkg != "router" || !ok || logger.Sel.Name != "log" || len(c.Args) == 0 {
		return
	}
	if s, ok := stringLiteral(c.Args[0]); ok {
		inv.logLines[s] = true
	}
}

// addLogPrefix adds the log prefix that a call configures or prints.
func (inv inventory) addLogPrefix(pkg, name string, c *ast.CallExpr) {
	for _, a := range c.Args {
		s, ok := stringLiteral(a)
		if !ok {
			continue
		}
		switch name {
		case "Main", "WithPrefix", "Logger":
			if prefixName.FindString(s) == s && s != "" {
				inv.logPrefixes[s] = true
			}
		case "Error", "Errorf", "Fprintf":
			if p := prefixName.FindString(s); slices.Contains(packagesWithoutLogger, pkg) && p == pkg+": " {
				inv.logPrefixes[p] = true
			}
		}
	}
}

// addMapKeys adds the settings that goldcrestctl reads in a loop over a map from
// keys to pointers.
func (inv inventory) addMapKeys(pkg string, c *ast.CompositeLit) {
	m, ok := c.Type.(*ast.MapType)
	if !ok || pkg != "ctl" {
		return
	}
	if _, pointers := m.Value.(*ast.StarExpr); !pointers {
		return
	}
	for _, e := range c.Elts {
		if key, ok := stringLiteral(e.(*ast.KeyValueExpr).Key); ok {
			inv.settings["ctl [ctl] "+key] = true
		}
	}
}

func docInventory(t *testing.T) inventory {
	t.Helper()
	out := newInventory()
	paths, err := filepath.Glob(filepath.Join(root, "docs", "operations", "*.md"))
	is.New(t).NoErr(err)
	for _, path := range append(paths, filepath.Join(root, "docs", "OPERATIONS.md")) {
		data, err := os.ReadFile(path)
		is.New(t).NoErr(err)
		pkg, heading := "", ""
		for line := range strings.SplitSeq(string(data), "\n") {
			if h, ok := strings.CutPrefix(line, "## "); ok {
				pkg, heading = packageOfHeading[h], h
			}
			if m := logLineRow.FindStringSubmatch(line); m != nil && heading == logLinesHeading {
				out.logLines[m[1]] = true
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
			if m := logPrefixRow.FindStringSubmatch(line); m != nil {
				out.logPrefixes[m[1]] = true
			}
		}
	}
	return out
}

// Guards against documents that name a test which does not exist.
func TestDocumentsNameTestsThatExist(t *testing.T) {
	is := is.New(t)
	name := regexp.MustCompile(`\bTest[A-Z]\w+`)
	function := regexp.MustCompile(`(?m)^func (Test[A-Z]\w+)\(`)
	defined := map[string]bool{}
	named := map[string]string{}
	is.NoErr(filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		isDoc := strings.HasPrefix(path, filepath.Join(root, "docs")) && strings.HasSuffix(path, ".md")
		if !isDoc && !strings.HasSuffix(path, "_test.go") {
			return nil
		}
		data, err := os.ReadFile(path)
		for _, m := range function.FindAllStringSubmatch(string(data), -1) {
			defined[m[1]] = defined[m[1]] || !isDoc
		}
		if isDoc {
			for _, n := range name.FindAllString(string(data), -1) {
				named[n] = path
			}
		}
		return err
	}))
	for n, path := range named {
		if !defined[n] {
			t.Errorf("%s names %s, which does not exist", path, n)
		}
	}
	is.True(len(named) > 0)
}

// Guards against documents that omit a setting, flag, list key, metric, log
// prefix or router log line of the code, or describe one that the code lacks.
func TestDocumentsMatchTheCode(t *testing.T) {
	code, docs := codeInventory(t), docInventory(t)
	for _, kind := range []struct {
		name       string
		code, docs map[string]bool
	}{
		{"setting", code.settings, docs.settings},
		{"flag", code.flags, docs.flags},
		{"metric", code.metrics, docs.metrics},
		{"log prefix", code.logPrefixes, docs.logPrefixes},
		{"log line", code.logLines, docs.logLines},
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
