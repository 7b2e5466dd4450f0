package ctl

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/goldcrestturn/goldcrestturn/internal/config"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
)

func statusCommand() Command {
	return Command{
		Name: "status", Summary: "show instances, load and the configuration in force",
		Filters: func(job *Job) []Filter {
			if job.Logs == nil {
				return []Filter{readFleet{}}
			}
			return []Filter{readFleet{}, optional{readAccepted{}}}
		},
		Print: printStatus,
		JSON: func(job *Job) any {
			offset := newestOffset(job)
			return map[string]any{"offset": offset, "in_force": newInForce(job.Fleet, offset), "instances": job.Fleet}
		},
	}
}

// newestOffset returns the highest configuration offset that the log or any
// instance has. Without the log, for example during an outage of the log
// service, only the instances count.
func newestOffset(job *Job) int64 {
	offset := config.NoBase
	if job.Follower != nil {
		offset = job.Follower.Accepted.Offset
	}
	for _, m := range job.Fleet {
		offset = max(offset, m.Offset)
	}
	return offset
}

func printStatus(w io.Writer, job *Job) {
	rows := make([][]string, len(job.Fleet))
	for i, m := range job.Fleet {
		rows[i] = []string{
			string(m.ID), string(m.Role), string(m.DataCentre), orDash(string(m.Pool)), orDash(string(m.Version)),
			string(m.Status), formatOffset(m), fmt.Sprint(m.Load), fmt.Sprint(m.Running), formatUsable(m.Usable),
		}
	}
	table(w, []string{"INSTANCE", "ROLE", "DATA CENTRE", "POOL", "VERSION", "STATUS", "CONFIG", "LOAD", "RUNNING", "ENDPOINTS"}, rows)
	if job.Follower != nil {
		for _, name := range slices.Sorted(maps.Keys(job.Follower.Accepted.Lists.DataCentres)) {
			if job.Follower.Accepted.Lists.DataCentres[name].State == lists.DataCentreOut {
				fmt.Fprintf(w, "data centre %s is out of service\n", name)
			}
		}
	}
	offset := newestOffset(job)
	fmt.Fprintf(w, "configuration offset %d\n", offset)
	printInForce(w, job.Fleet, offset)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func formatOffset(m Member) string {
	if !m.Reached {
		return "unreached"
	}
	return fmt.Sprint(m.Offset)
}

func formatUsable(pools map[string]int) string {
	var parts []string
	for _, p := range slices.Sorted(maps.Keys(pools)) {
		parts = append(parts, fmt.Sprintf("%s:%d", p, pools[p]))
	}
	return orDash(strings.Join(parts, " "))
}
