// Package program holds what the main functions of all binaries share: flags,
// exit codes, logging, signals and the admin address.
package program

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/goldcrestturn/goldcrestturn/internal/finding"
)

// Version is set at build time with -ldflags "-X ...program.Version=...".
var Version = "dev"

// Exit codes of all binaries.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2 // invalid settings, lists or flags
)

// Options are the flags that all binaries share.
type Options struct {
	Settings  string // path of the settings file
	Check     bool   // check the settings and exit
	LogFormat string // text or json
	LogLines  int64  // maximum number of log lines a second
	version   bool
}

// Flags registers the shared flags in fs.
func (o *Options) Flags(fs *flag.FlagSet) {
	fs.StringVar(&o.Settings, "settings", "", "path of the INI settings `file`")
	fs.BoolVar(&o.Check, "check", false, "check the settings and exit")
	fs.StringVar(&o.LogFormat, "log-format", "text", "format of log lines: `text or json`")
	fs.Int64Var(&o.LogLines, "log-lines", DefaultLogLines, "most log lines a second")
	fs.BoolVar(&o.version, "version", false, "print the version and exit")
}

// PrintVersion prints the version of the binary called name if -version is set,
// and reports whether it is.
func (o *Options) PrintVersion(w io.Writer, name string) bool {
	if o.version {
		fmt.Fprintln(w, name, Version)
	}
	return o.version
}

// Main runs a daemon: it parses the flags, loads the settings with load, sets up
// a logger with prefix and calls run, whose ctx SIGTERM and SIGINT cancel. It
// returns the exit code.
func Main[S any](name, prefix string, args []string, load func(path string) (S, error), run func(ctx context.Context, log *slog.Logger, settings S) error) int {
	var o Options
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	o.Flags(fs)
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		return ExitSettings
	}
	if o.PrintVersion(os.Stdout, name) {
		return ExitOK
	}
	settings, err := load(o.Settings)
	if err != nil {
		return ReportError(os.Stderr, err)
	}
	if o.Check {
		fmt.Printf("%s: settings are valid\n", o.Settings)
		return ExitOK
	}
	signal.Ignore(syscall.SIGPIPE) // the program serves on when nobody reads its log
	lines := NewLineWriter(os.Stdout, o.LogLines)
	defer lines.Close()
	log := Logger(lines, o.LogFormat, prefix)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, log, settings); err != nil {
		log.Error("stopped after a failure", "error", err)
		return ExitFailure
	}
	log.Info("stopped")
	return ExitOK
}

// ReportError prints err and returns its exit code: ExitSettings for findings,
// ExitFailure otherwise.
func ReportError(w io.Writer, err error) int {
	fmt.Fprintln(w, err)
	var findings finding.List
	if errors.As(err, &findings) {
		return ExitSettings
	}
	return ExitFailure
}

// Logger returns a logger to w in the given format, text or json, whose messages
// start with prefix.
func Logger(w io.Writer, format, prefix string) *slog.Logger {
	var h slog.Handler = slog.NewTextHandler(w, nil)
	if format == "json" {
		h = slog.NewJSONHandler(w, nil)
	}
	return slog.New(prefixHandler{h, prefix})
}

// WithPrefix returns a copy of log whose messages start with prefix instead of
// the prefix of log.
func WithPrefix(log *slog.Logger, prefix string) *slog.Logger {
	h := log.Handler()
	if p, ok := h.(prefixHandler); ok {
		h = p.Handler
	}
	return slog.New(prefixHandler{h, prefix})
}

// prefixHandler puts a prefix in front of each message.
type prefixHandler struct {
	slog.Handler
	prefix string
}

func (h prefixHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Message = h.prefix + r.Message
	return h.Handler.Handle(ctx, r)
}

func (h prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixHandler{h.Handler.WithAttrs(attrs), h.prefix}
}

func (h prefixHandler) WithGroup(name string) slog.Handler {
	return prefixHandler{h.Handler.WithGroup(name), h.prefix}
}
