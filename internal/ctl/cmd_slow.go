package ctl

import (
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/timing"
)

// slowFlags describe what slow shows.
type slowFlags struct {
	places int
	rows   []timing.Row
	found  []timing.Hotspot
}

const (
	defaultPlaces = 10
	barWidth      = 30 // characters of the longest bar
)

func slowCommand() Command {
	return Command{
		Name: "slow", Summary: "show where the time goes: the slowest stages and places",
		Flags: func(fs *flag.FlagSet, job *Job) {
			fs.IntVar(&job.Slow.places, "places", defaultPlaces, "`number` of places to show")
		},
		Filters: func(*Job) []Filter { return []Filter{readFleet{}, readSlow{}, findSlow{}} },
		Print:   printSlow,
		JSON:    func(job *Job) any { return slowJSON(job.Slow.found) },
	}
}

func printSlow(w io.Writer, job *Job) {
	if len(job.Slow.found) == 0 {
		fmt.Fprintln(w, "no place is slower than the rest of its pool")
		return
	}
	longest := job.Slow.found[0].Excess
	var rows [][]string
	for _, p := range job.Slow.found {
		rows = append(rows, []string{
			string(p.Pool), p.Stage.String(), string(p.Dimension), p.Name, fmt.Sprintf("%.0f", p.Requests),
			millis(p.Mean), millis(p.Rest), bar(p.Excess, longest),
		})
	}
	table(w, []string{"POOL", "STAGE", "BY", "NAME", "REQUESTS", "MEAN MS", "REST MS", "EXCESS"}, rows)
}

func millis(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }

// bar plots part against whole.
func bar(part, whole time.Duration) string {
	n := int(float64(part) / float64(max(whole, 1)) * barWidth)
	return strings.Repeat("#", max(1, n)) + " " + part.Round(time.Millisecond).String()
}

// slowPlace is the JSON form of timing.Place.
type slowPlace struct {
	Pool      string  `json:"pool"`
	Stage     string  `json:"stage"`
	Dimension string  `json:"by"`
	Name      string  `json:"name"`
	Requests  float64 `json:"requests"`
	MeanMS    float64 `json:"mean_ms"`
	RestMS    float64 `json:"rest_ms"`
	ExcessMS  float64 `json:"excess_ms"`
}

func slowJSON(places []timing.Hotspot) []slowPlace {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	out := make([]slowPlace, len(places))
	for i, p := range places {
		out[i] = slowPlace{string(p.Pool), p.Stage.String(), string(p.Dimension), p.Name, p.Requests, ms(p.Mean), ms(p.Rest), ms(p.Excess)}
	}
	return out
}
