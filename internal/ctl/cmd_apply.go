package ctl

import "flag"

func applyCommand() Command {
	return Command{
		Name: "apply", Summary: "put the lists in force",
		Flags: waitFlag,
		Filters: func(*Job) []Filter {
			return []Filter{readLists{}, readAccepted{}, guardService{}, diff{}, appendRecord{}, wait{}}
		},
		Print: printApplied,
		JSON:  appliedJSON,
	}
}

func waitFlag(fs *flag.FlagSet, job *Job) {
	fs.BoolVar(&job.Wait, "wait", false, "wait until the change is in force everywhere")
}
