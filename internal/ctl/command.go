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

// Command is one subcommand.
type Command struct {
	Name    string
	Usage   string // arguments after the name
	Summary string
	Args    int                         // number of arguments
	Flags   func(*flag.FlagSet, *Job)   // flags of this command alone; may be nil
	Filters func(job *Job) []Filter     // the pipeline
	Print   func(w io.Writer, job *Job) // table for people
	JSON    func(job *Job) any          // the same for machines
}

// commands lists all subcommands in the order of the help text.
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
		rolloutTakeBackCommand(),
		releaseCommand(),
		slowCommand(),
	}
}

// Main runs goldcrestctl and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	cmd, rest, ok := find(args)
	if !ok {
		help(errOut)
		if len(args) > 0 && (args[0] == "help" || args[0] == "-h" || args[0] == "-help") {
			return program.ExitOK
		}
		return program.ExitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return cmd.run(ctx, rest, out, errOut)
}

// find matches the longest command name at the start of args.
func find(args []string) (Command, []string, bool) {
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

func help(w io.Writer) {
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

// report prints the result, also of a job that failed on its way, and returns
// the exit code.
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

// hostUser is the name under which records are written by default.
func hostUser() string { return os.Getenv("USER") }
