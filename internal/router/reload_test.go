package router

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// leaves calls f with the path of each setting and the value to change, sections included.
func leaves(v reflect.Value, path string, f func(path string, v reflect.Value)) {
	for i := range v.NumField() {
		field, name := v.Field(i), path+v.Type().Field(i).Name
		switch {
		case !v.Type().Field(i).IsExported():
		case field.Kind() == reflect.Struct:
			leaves(field, name+".", f)
		default:
			f(name, field)
		}
	}
}

// change sets a setting to a value that differs from its zero value.
func change(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString("changed")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(7)
	case reflect.Int64:
		v.SetInt(7)
	case reflect.Slice:
		v.Set(reflect.ValueOf([]string{"changed"}))
	case reflect.Map:
		v.Set(reflect.ValueOf(map[model.DataCentre]model.Region{"changed": "changed"}))
	}
}

// Guards against settings that a reload changes in part, or does not change without a word.
func TestEverySettingIsReloadedOrReported(t *testing.T) {
	is := is.New(t)
	kept := map[string]bool{}
	leaves(reflect.ValueOf(&Settings{}).Elem(), "", func(path string, _ reflect.Value) {
		next := Settings{}
		var changed reflect.Value
		leaves(reflect.ValueOf(&next).Elem(), "", func(p string, v reflect.Value) {
			if p == path {
				change(v)
				changed = v
			}
		})
		is.True(!changed.IsZero())
		got, ignored := Settings{}.reloaded(next)
		leaves(reflect.ValueOf(&got).Elem(), "", func(p string, v reflect.Value) {
			if p != path {
				is.True(v.IsZero())
				return
			}
			if len(ignored) == 0 {
				is.True(reflect.DeepEqual(v.Interface(), changed.Interface()))
			} else {
				is.True(v.IsZero())
				kept[path] = true
			}
		})
		is.True(len(ignored) <= 1)
	})
	is.Equal(len(kept), len(startSettings))
}

// Guards against a setting that a reload changes, but whose reader uses the settings of the
// start: a raised grace time did not reach the planned stop.
func TestReloadedSettingsAreNotReadFromTheStart(t *testing.T) {
	is := is.New(t)
	atStart := map[string]bool{}
	leaves(reflect.ValueOf(&Settings{}).Elem(), "", func(path string, v reflect.Value) {
		next := Settings{}
		leaves(reflect.ValueOf(&next).Elem(), "", func(p string, v reflect.Value) {
			if p == path {
				change(v)
			}
		})
		if _, ignored := (Settings{}).reloaded(next); len(ignored) > 0 {
			atStart[strings.Split(path, ".")[0]] = true
		}
	})
	files, err := filepath.Glob("*.go")
	is.NoErr(err)
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		is.NoErr(err)
		ast.Inspect(parsed, func(n ast.Node) bool {
			// Matches X.settings.NAME where X is the router; the control state is s.
			field, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			settings, ok := field.X.(*ast.SelectorExpr)
			if !ok || settings.Sel.Name != "settings" || !isRouter(settings.X) {
				return true
			}
			if name := field.Sel.Name; token.IsExported(name) && !atStart[name] {
				t.Errorf("%s reads %s from the settings of the start", file, name)
			}
			return true
		})
	}
}

func isRouter(x ast.Expr) bool {
	switch x := x.(type) {
	case *ast.Ident:
		return x.Name == "r"
	case *ast.SelectorExpr:
		return x.Sel.Name == "r"
	}
	return false
}

// Guards against a page that names other settings as those that need a restart.
func TestSettingsThatNeedARestartAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	_, list, ok := strings.Cut(string(page), "These settings of the router take effect at its start only: ")
	is.True(ok)
	list, _, _ = strings.Cut(list, ". ")
	var documented, keys []string
	for _, m := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(list, -1) {
		documented = append(documented, m[1])
	}
	for _, s := range startSettings {
		keys = append(keys, s.key)
	}
	slices.Sort(documented)
	slices.Sort(keys)
	is.Equal(documented, keys)
}

// Guards against a window of the retry budget that keeps its length after a reload.
func TestRetryWindowsAreReloaded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := newState(Settings{RetryWindow: 10 * time.Second})
	retryWindow(s, "pool").AddRequest(now)
	is.True(retryWindow(s, "pool").HasRetry(now.Add(2*time.Second), 2, 0, 1))
	s.settings.RetryWindow = time.Second
	is.True(!retryWindow(s, "pool").HasRetry(now.Add(2*time.Second), 2, 0, 1))
}
