package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
)

func printJSON(w io.Writer, v any, err error) {
	out := map[string]any{"result": v}
	if err != nil {
		out["error"] = err.Error()
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(out)
}

// table writes a header and rows in aligned columns.
func table(w io.Writer, header []string, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(header, "\t"))
	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	t.Flush()
}

func printChanges(w io.Writer, job *Job) {
	if len(job.Changes) == 0 {
		fmt.Fprintln(w, "no changes")
		return
	}
	rows := make([][]string, len(job.Changes))
	for i, c := range job.Changes {
		rows[i] = []string{actionName(c), string(c.Kind), c.Name, string(c.Value)}
	}
	table(w, []string{"ACTION", "KIND", "NAME", "VALUE"}, rows)
}

func actionName(c lists.Change) string {
	if len(c.Value) == 0 {
		return "remove"
	}
	return "set"
}

func printApplied(w io.Writer, job *Job) {
	printChanges(w, job)
	if job.Offset >= 0 {
		fmt.Fprintf(w, "accepted at offset %d\n", job.Offset)
	}
	if job.Wait {
		printInForce(w, job.Fleet, job.Offset)
	}
}

func printInForce(w io.Writer, fleet []Member, offset int64) {
	n, missing := InForce(fleet, offset)
	fmt.Fprintf(w, "in force on %d of %d\n", n, len(fleet))
	for _, m := range missing {
		state := fmt.Sprintf("has offset %d", m.Offset)
		if !m.Reached {
			state = "does not answer"
		}
		fmt.Fprintf(w, "missing: %s (%s, %s) %s\n", m.ID, m.Role, m.DataCentre, state)
	}
}

// applied is the JSON result of the commands that append a record.
type applied struct {
	Changes []lists.Change `json:"changes"`
	Offset  int64          `json:"offset"`
	InForce *inForce       `json:"in_force,omitempty"`
}

// inForce is the JSON form of the result of InForce.
type inForce struct {
	On      int      `json:"on"`
	Of      int      `json:"of"`
	Missing []Member `json:"missing,omitempty"`
}

func newInForce(fleet []Member, offset int64) *inForce {
	n, missing := InForce(fleet, offset)
	return &inForce{On: n, Of: len(fleet), Missing: missing}
}

func appliedJSON(job *Job) any {
	a := applied{Changes: job.Changes, Offset: job.Offset}
	if job.Wait {
		a.InForce = newInForce(job.Fleet, job.Offset)
	}
	return a
}
