package ctl

import (
	"fmt"
	"io"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
)

func checkCommand() Command {
	return Command{
		Name: "check", Summary: "check the lists as a whole",
		Filters: func(*Job) []Filter { return []Filter{readLists{}} },
		Print: func(w io.Writer, job *Job) {
			fmt.Fprintf(w, "%s: lists are valid: %s\n", job.Options.Lists, counts(job.Desired))
		},
		JSON: func(job *Job) any { return map[string]any{"valid": job.Desired != nil} },
	}
}

func counts(l *lists.Lists) string {
	return fmt.Sprintf("%d plans, %d workspaces, %d pools, %d routes, %d data centres",
		len(l.Plans), len(l.Workspaces), len(l.Pools), len(l.Routes), len(l.DataCentres))
}
