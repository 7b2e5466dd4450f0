package admission

// Report is what a router states to its peers about the demand for one pool.
type Report struct {
	Pool uint32 // hash of its name
	// Loaded says that the router reports because of the load of the pool that it knows,
	// rather than because a peer does.
	Loaded bool
	// Overloaded says that the router has evidence of its own. What it only heard from
	// peers does not count, or overload would confirm itself.
	Overloaded bool
	Occupancy  float64 // target of requests in flight over slots
	Stretch    float64 // time that requests take over their work
	// Demand is the work a second of the requests of each class that arrive.
	Demand [Classes]float64
	// Heavy are the workspaces with the most demand of one priority, the one that is
	// admitted in part.
	HeavyPriority int
	Heavy         []Heavy
}

// Heavy is the demand of one workspace.
type Heavy struct {
	Workspace uint32  // hash of its name
	Demand    float64 // work a second
}

// MaxHeavy is the number of workspaces in a report. In a pool with one workspace far above
// its usual rate a few suffice, and each costs bytes in every report.
const MaxHeavy = 4
