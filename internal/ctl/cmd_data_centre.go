package ctl

import (
	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

func drainCommand() Command {
	return dataCentreCommand("drain", "take a data centre out of service", lists.DataCentreOut)
}

func restoreCommand() Command {
	return dataCentreCommand("restore", "bring a data centre back into service", lists.DataCentreIn)
}

func dataCentreCommand(name, summary string, state lists.DataCentreState) Command {
	return Command{
		Name: name, Usage: "DATA-CENTRE", Summary: summary, Args: 1,
		Flags: waitFlag,
		Filters: func(*Job) []Filter {
			build := func(job *Job, accepted *lists.Lists) ([]lists.Change, error) {
				return setDataCentreState(accepted, model.DataCentre(job.Args[0]), state)
			}
			return []Filter{readAccepted{}, change(build), appendRecord{}, wait{}}
		},
		Print: printApplied,
		JSON:  appliedJSON,
	}
}

// setDataCentreState returns the change that sets the state of the named data
// centre, or none if it has that state already.
func setDataCentreState(accepted *lists.Lists, name model.DataCentre, state lists.DataCentreState) ([]lists.Change, error) {
	dc, ok := accepted.DataCentres[name]
	if !ok {
		return nil, eris.Errorf("data centre %q is not in the accepted configuration", name)
	}
	if dc.State == state {
		return nil, nil
	}
	dc.State = state
	return setOne(lists.KindDataCentre, string(name), dc)
}
