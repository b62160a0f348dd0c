package measure

// policy decides which waiting job is sent to which engine. Every method runs in the single goroutine of the simulation.
type policy interface {
	// submit adds a job that a caller sent to its router.
	submit(j *job)
	// cancel removes a job whose caller gives up and reports whether the job was waiting.
	cancel(j *job) bool
	// attemptCompleted tells the router that an attempt is complete. It returns false if the policy answers the caller
	// itself.
	attemptCompleted(a *attempt) bool
	// attemptUnreachable tells the router that an attempt did not reach its engine.
	attemptUnreachable(a *attempt)
	// attemptCutOff tells the router that an attempt was interrupted by the isolation of a zone.
	attemptCutOff(a *attempt)
	// loadReported passes on a new load report of an engine.
	loadReported(e *engine)
	// step runs once in each step of the simulation, after the engines.
	step()
	// routerKilled is called when a router dies, and routerStarted on each start, also the first.
	routerKilled(router int)
	routerStarted(router int)
	// zoneIsolated is called when an availability zone loses its connections.
	zoneIsolated()
}

// Policies returns the names of all policies in the order of the table.
func Policies() []string { return []string{"product", "ideal", "fcfs", "robin", "fixed"} }

// newPolicy returns the policy with the given name.
func newPolicy(name string, sim *simulation) policy {
	switch name {
	case "product":
		return newProduct(sim)
	case "ideal":
		return newBaseline(sim, true, selectLeastServed, nil)
	case "fcfs":
		return newBaseline(sim, false, selectFirstArrived, nil)
	case "robin":
		return newBaseline(sim, false, selectRoundRobin, nil)
	default:
		return newBaseline(sim, false, selectLeastServed, fixedSlotShare)
	}
}
