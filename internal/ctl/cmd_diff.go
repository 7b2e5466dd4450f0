package ctl

func diffCommand() Command {
	return Command{
		Name: "diff", Summary: "show what apply would change",
		Filters: func(*Job) []Filter { return []Filter{readLists{}, readAccepted{}, diff{}} },
		Print:   printChanges,
		JSON:    appliedJSON,
	}
}
