package ctl

import (
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/timing"
)

// slowReport holds the flags, the input and the result of the slow command.
type slowReport struct {
	limit    int              // most hotspots to show
	rows     []timing.Row     // stage times of all entries
	hotspots []timing.Hotspot // largest excess first
}

const (
	defaultHotspots = 10
	barWidth        = 30 // width of the longest bar in characters
)

func slowCommand() Command {
	return Command{
		Name: "slow", Summary: "show where the time goes: the slowest stages and places",
		Flags: func(fs *flag.FlagSet, job *Job) {
			fs.IntVar(&job.Slow.limit, "places", defaultHotspots, "`number` of places to show")
		},
		Filters: func(*Job) []Filter { return []Filter{readFleet{}, readSlow{}, findSlow{}} },
		Print:   printSlow,
		JSON:    func(job *Job) any { return slowJSON(job.Slow.hotspots) },
	}
}

func printSlow(w io.Writer, job *Job) {
	if len(job.Slow.hotspots) == 0 {
		fmt.Fprintln(w, "no place is slower than the rest of its pool")
		return
	}
	longest := job.Slow.hotspots[0].Excess
	var rows [][]string
	for _, h := range job.Slow.hotspots {
		rows = append(rows, []string{
			string(h.Pool), h.Stage.String(), string(h.Dimension), h.Name, fmt.Sprintf("%.0f", h.Requests),
			millis(h.Mean), millis(h.Rest), bar(h.Excess, longest),
		})
	}
	table(w, []string{"POOL", "STAGE", "BY", "NAME", "REQUESTS", "MEAN MS", "REST MS", "EXCESS"}, rows)
}

func millis(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }

// bar draws d as a bar, scaled so that longest has barWidth characters.
func bar(d, longest time.Duration) string {
	n := int(float64(d) / float64(max(longest, 1)) * barWidth)
	return strings.Repeat("#", max(1, n)) + " " + d.Round(time.Millisecond).String()
}

// hotspotJSON is the JSON form of timing.Hotspot.
type hotspotJSON struct {
	Pool      string  `json:"pool"`
	Stage     string  `json:"stage"`
	Dimension string  `json:"by"`
	Name      string  `json:"name"`
	Requests  float64 `json:"requests"`
	MeanMS    float64 `json:"mean_ms"`
	RestMS    float64 `json:"rest_ms"`
	ExcessMS  float64 `json:"excess_ms"`
}

func slowJSON(hotspots []timing.Hotspot) []hotspotJSON {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	out := make([]hotspotJSON, len(hotspots))
	for i, h := range hotspots {
		out[i] = hotspotJSON{string(h.Pool), h.Stage.String(), string(h.Dimension), h.Name, h.Requests, ms(h.Mean), ms(h.Rest), ms(h.Excess)}
	}
	return out
}
