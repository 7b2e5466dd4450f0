// Package settings reads the INI settings of a program. It collects a finding
// with file and line for each problem, unknown sections and keys included, and
// reports all findings together.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"github.com/goldcrestturn/goldcrestturn/internal/finding"
)

// File is a settings file that is being read.
type File struct {
	name       string
	ini        *ini.File
	lines      map[settingKey]int  // line numbers
	accessed   map[settingKey]bool // keys that a getter has read
	duplicates []duplicate
	findings   finding.List
}

// duplicate is a further occurrence of a section or key. The INI library would
// silently keep the last one.
type duplicate struct {
	settingKey
	line int
}

// settingKey identifies a key, or a section if key is empty.
type settingKey struct{ section, key string }

// Open parses the file at path.
func Open(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings: file cannot be read")
	}
	return Parse(path, data)
}

// Parse parses data. name is the file name in findings.
func Parse(name string, data []byte) (*File, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: false}, data)
	if err != nil {
		return nil, finding.List{{File: name, Problem: "is not INI: " + err.Error()}}
	}
	lines, duplicates := lineIndex(data)
	return &File{name: name, ini: f, lines: lines, duplicates: duplicates, accessed: map[settingKey]bool{}}, nil
}

// lineIndex returns the line number of each section and key, which the INI
// library does not keep, and the duplicates.
func lineIndex(data []byte) (map[settingKey]int, []duplicate) {
	lines := map[settingKey]int{}
	var duplicates []duplicate
	addLine := func(key settingKey, line int) {
		if lines[key] != 0 {
			duplicates = append(duplicates, duplicate{key, line})
		}
		lines[key] = line
	}
	section := ""
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			addLine(settingKey{section, ""}, i+1)
		default:
			if key, _, ok := strings.Cut(line, "="); ok {
				addLine(settingKey{section, strings.TrimSpace(key)}, i+1)
			}
		}
	}
	return lines, duplicates
}

// Sections returns the names of the sections in file order, without the
// unnamed one.
func (f *File) Sections() []string {
	return slices.DeleteFunc(f.ini.SectionStrings(), func(s string) bool { return s == ini.DefaultSection })
}

// Has reports whether the key is present.
func (f *File) Has(section, key string) bool {
	s, err := f.ini.GetSection(section)
	return err == nil && s.HasKey(key)
}

// AddFinding records a finding about a key, or about a section if key is empty.
func (f *File) AddFinding(section, key, problem, allowed string) {
	line := f.lines[settingKey{section, key}]
	if line == 0 {
		line = f.lines[settingKey{section, ""}]
	}
	f.findings.Add(finding.Finding{File: f.name, Line: line, Section: section, Key: key, Problem: problem, Allowed: allowed})
}

// HasFinding reports whether the key has a finding.
func (f *File) HasFinding(section, key string) bool {
	return slices.ContainsFunc(f.findings, func(fd finding.Finding) bool { return fd.Section == section && fd.Key == key })
}

// value returns the trimmed value of a key and whether it is present and not
// empty.
func (f *File) value(section, key string) (string, bool) {
	f.accessed[settingKey{section, key}] = true
	if !f.Has(section, key) {
		return "", false
	}
	// Value does not expand %(name)s, which takes exponential time on bad input.
	v := strings.TrimSpace(f.ini.Section(section).Key(key).Value())
	return v, v != ""
}

// Required returns the value of a key that must be present.
func (f *File) Required(section, key string) string {
	v, ok := f.value(section, key)
	if !ok {
		f.AddFinding(section, key, "is missing", "a value")
	}
	return v
}

// String returns the value of a key, or def if it is absent or empty.
func (f *File) String(section, key, def string) string {
	if v, ok := f.value(section, key); ok {
		return v
	}
	return def
}

// OneOf returns the value of a key, which must be one of allowed, or def.
func (f *File) OneOf(section, key, def string, allowed ...string) string {
	v := f.String(section, key, def)
	if !slices.Contains(allowed, v) {
		f.AddFinding(section, key, fmt.Sprintf("has the value %q", v), strings.Join(allowed, ", "))
	}
	return v
}

// Address returns a required "ip:port" value. Host names are not allowed, since
// the processes of the fleet address each other by IP address.
func (f *File) Address(section, key string) string {
	v := f.Required(section, key)
	f.checkAddress(section, key, v)
	return v
}

// OptionalAddress is Address for a key that may be absent.
func (f *File) OptionalAddress(section, key string) string {
	v := f.String(section, key, "")
	f.checkAddress(section, key, v)
	return v
}

func (f *File) checkAddress(section, key, v string) {
	if v == "" {
		return
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		f.AddFinding(section, key, fmt.Sprintf("has the value %q", v), "IP number and port, such as 127.0.0.1:7000")
	}
}

// Addresses returns a comma-separated list of "ip:port" values.
func (f *File) Addresses(section, key string) []string {
	list := f.List(section, key)
	for _, v := range list {
		f.checkAddress(section, key, v)
	}
	return list
}

// List returns the elements of a comma-separated value. Empty elements are
// skipped.
func (f *File) List(section, key string) []string {
	v, _ := f.value(section, key)
	var out []string
	for part := range strings.SplitSeq(v, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// Duration returns a duration within [low, high], or def. A malformed value
// or one outside the range is a finding.
func (f *File) Duration(section, key string, def, low, high time.Duration) time.Duration {
	v, ok := f.value(section, key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < low || d > high {
		f.AddFinding(section, key, fmt.Sprintf("has the value %q", v), fmt.Sprintf("a duration from %s to %s", low, high))
		return def
	}
	return d
}

// Int returns an integer within [low, high], or def. A malformed value or one
// outside the range is a finding.
func (f *File) Int(section, key string, def, low, high int64) int64 {
	v, ok := f.value(section, key)
	if !ok {
		return def
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < low || n > high {
		f.AddFinding(section, key, fmt.Sprintf("has the value %q", v), fmt.Sprintf("a whole number from %d to %d", low, high))
		return def
	}
	return n
}

// Float returns a number within [low, high], or def. A malformed value or one
// outside the range, NaN included, is a finding.
func (f *File) Float(section, key string, def, low, high float64) float64 {
	v, ok := f.value(section, key)
	if !ok {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= low && n <= high) {
		f.AddFinding(section, key, fmt.Sprintf("has the value %q", v), fmt.Sprintf("a number from %g to %g", low, high))
		return def
	}
	return n
}

// Bool returns a boolean value, or def.
func (f *File) Bool(section, key string, def bool) bool {
	v, ok := f.value(section, key)
	if !ok {
		return def
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		f.AddFinding(section, key, fmt.Sprintf("has the value %q", v), "true or false")
	}
	return b
}

// Err returns all findings as one error, or nil. They include each key that no
// getter has read and each section or key that occurs twice.
func (f *File) Err() error { return f.Findings().Err() }

// Findings returns the findings that Err reports.
func (f *File) Findings() finding.List {
	for _, d := range f.duplicates {
		f.findings.Add(finding.Finding{File: f.name, Line: d.line, Section: d.section, Key: d.key, Problem: "occurs twice", Allowed: "once"})
	}
	f.duplicates = nil
	for _, s := range f.ini.Sections() {
		name := s.Name()
		if name == ini.DefaultSection {
			name = ""
		}
		for _, k := range s.Keys() {
			if !f.accessed[settingKey{name, k.Name()}] {
				f.AddFinding(name, k.Name(), "is not a known key", "")
			}
		}
	}
	slices.SortStableFunc(f.findings, func(a, b finding.Finding) int { return a.Line - b.Line })
	return f.findings
}
