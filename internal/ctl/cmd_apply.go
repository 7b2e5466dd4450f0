package ctl

import "flag"

func applyCommand() Command {
	return Command{
		Name: "apply", Summary: "put the lists in force",
		Flags: func(fs *flag.FlagSet, job *Job) {
			waitFlag(fs, job)
			fs.BoolVar(&job.Founding, "found", false, "start anew from the lists although the log does not prove the accepted configuration")
		},
		Filters: func(*Job) []Filter {
			return []Filter{readLists{}, readAccepted{}, checkOverrides{}, diff{}, appendRecord{}, wait{}}
		},
		Print: printApplied,
		JSON:  appliedJSON,
	}
}

func waitFlag(fs *flag.FlagSet, job *Job) {
	fs.BoolVar(&job.Wait, "wait", false, "wait until the change is in force everywhere")
}
