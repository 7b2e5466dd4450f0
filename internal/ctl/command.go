package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/finding"
	"github.com/goldcrestturn/goldcrestturn/internal/program"
)

// Command describes a subcommand of goldcrestctl.
type Command struct {
	Name    string
	Usage   string // arguments after the name
	Summary string
	Args    int                         // number of arguments
	Flags   func(*flag.FlagSet, *Job)   // defines the flags of this command alone; may be nil
	Filters func(job *Job) []Filter     // stages of the pipeline
	Print   func(w io.Writer, job *Job) // prints the result as text
	JSON    func(job *Job) any          // returns the result for -json
}

// commands returns all subcommands in the order of the help text.
func commands() []Command {
	return []Command{
		checkCommand(),
		diffCommand(),
		applyCommand(),
		statusCommand(),
		drainCommand(),
		restoreCommand(),
		rolloutStartCommand(),
		rolloutStatusCommand(),
		rolloutRollBackCommand(),
		releaseCommand(),
		slowCommand(),
	}
}

// Main runs goldcrestctl and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	cmd, rest, ok := findCommand(args)
	if !ok {
		printHelp(errOut)
		if len(args) > 0 && (args[0] == "help" || args[0] == "-h" || args[0] == "-help") {
			return program.ExitOK
		}
		return program.ExitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return cmd.run(ctx, rest, out, errOut)
}

// findCommand returns the command with the longest name, of one or two words,
// that args start with, and the remaining arguments.
func findCommand(args []string) (Command, []string, bool) {
	for words := min(2, len(args)); words > 0; words-- {
		name := args[0]
		if words == 2 {
			name += " " + args[1]
		}
		for _, c := range commands() {
			if c.Name == name {
				return c, args[words:], true
			}
		}
	}
	return Command{}, nil, false
}

func printHelp(w io.Writer) {
	fmt.Fprintln(w, "usage: goldcrestctl COMMAND [flags] [arguments]")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-44s %s\n", c.Name+" "+c.Usage, c.Summary)
	}
}

func (c Command) run(ctx context.Context, args []string, out, errOut io.Writer) int {
	job := newJob()
	fs := flag.NewFlagSet("goldcrestctl "+c.Name, flag.ContinueOnError)
	fs.SetOutput(errOut)
	job.Options.flags(fs)
	if c.Flags != nil {
		c.Flags(fs, job)
	}
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return program.ExitOK
		}
		return program.ExitSettings
	}
	if fs.NArg() != c.Args {
		fmt.Fprintf(errOut, "usage: goldcrestctl %s [flags] %s\n", c.Name, c.Usage)
		return program.ExitSettings
	}
	job.Args = fs.Args()
	if err := job.Options.load(fs); err != nil {
		return program.ReportError(errOut, err)
	}
	job.connect()
	err := run(ctx, job, c.Filters(job))
	return c.report(job, err, out, errOut)
}

// report prints the result and returns the exit code. A failed job is printed
// too: always as JSON, and as text if its record was accepted before the
// failure.
func (c Command) report(job *Job, err error, out, errOut io.Writer) int {
	if job.Options.JSON {
		printJSON(out, c.JSON(job), err)
	} else if err == nil || job.Offset >= 0 {
		c.Print(out, job)
	}
	if err == nil {
		return program.ExitOK
	}
	var findings finding.List
	if errors.As(err, &findings) {
		return program.ReportError(errOut, findings)
	}
	return program.ReportError(errOut, eris.Errorf("ctl: %v", err))
}

// defaultAuthor returns the author of records when none is configured.
func defaultAuthor() string { return os.Getenv("USER") }
