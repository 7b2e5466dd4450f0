package load

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/goldcrestturn/goldcrestturn/internal/program"
)

// Main runs the load tool and returns its exit code, which is not zero if an
// answer was wrong or a configured check failed.
func Main(args []string, stdout, stderr io.Writer) int {
	var o program.Options
	fs := flag.NewFlagSet("goldcrest-load", flag.ContinueOnError)
	fs.SetOutput(stderr)
	o.Flags(fs)
	format := fs.String("format", "", "format of the report, `text or json`; overrides the settings")
	duration := fs.Duration("duration", 0, "time for which calls are started; overrides the settings")
	rate := fs.Float64("rate", 0, "calls a second; overrides the settings")
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return program.ExitOK
		}
		return program.ExitSettings
	}
	if o.PrintVersion(stdout, "goldcrest-load") {
		return program.ExitOK
	}
	s, err := LoadSettings(o.Settings)
	if err != nil {
		return program.ReportError(stderr, err)
	}
	switch *format {
	case "":
	case FormatText, FormatJSON:
		s.Format = *format
	default:
		fmt.Fprintf(stderr, "load: format %q is not text or json\n", *format)
		return program.ExitSettings
	}
	if *duration > 0 {
		s.Duration = *duration
	}
	if *rate > 0 {
		s.Rate = *rate
	}
	if o.Check {
		fmt.Fprintf(stdout, "%s: settings are valid\n", o.Settings)
		return program.ExitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	report := Run(ctx, s, stderr)
	if err := report.Write(stdout, s.Format); err != nil {
		return program.ReportError(stderr, err)
	}
	if len(report.Failed) > 0 {
		return program.ExitFailure
	}
	return program.ExitOK
}
