package admission

const (
	// Priorities is the number of levels of urgency, 0 being the most urgent.
	Priorities = 10
	// Classes is the number of classes of requests. Each priority has two: requests whose
	// caller has used part of its time, which mostly return after a refusal, and new ones.
	Classes = 2 * Priorities
	// returningShare is the part of the capacity of a priority that returning requests get
	// at most while new ones of the same priority need the rest. If they had all of it,
	// every request would be refused once before it is served.
	returningShare = 0.5
)

// class returns the class of a request.
func class(priority int, returning bool) int {
	c := 2 * min(max(priority, 0), Priorities-1)
	if !returning {
		c++
	}
	return c
}

// fill divides capacity among the demands of the classes, the more urgent priorities
// first, and returns the share of each class that is admitted.
func fill(demand [Classes]float64, capacity float64) (admitted [Classes]float64) {
	left := max(0, capacity)
	for p := range Priorities {
		returning, fresh := demand[2*p], demand[2*p+1]
		r := min(returning, max(left*returningShare, left-fresh))
		f := min(fresh, left-r)
		admitted[2*p], admitted[2*p+1] = portion(r, returning, left), portion(f, fresh, left)
		left = max(0, left-r-f)
	}
	return admitted
}

// portion returns served as a share of demand. A class without demand is open while
// capacity is left.
func portion(served, demand, left float64) float64 {
	switch {
	case demand > 0:
		return min(1, served/demand)
	case left > 0:
		return 1
	}
	return 0
}
