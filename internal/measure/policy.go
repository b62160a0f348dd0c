package measure

// policy decides which waiting job is sent to which engine.
type policy interface {
	// submit takes a job that a caller sent to its router.
	submit(j *job)
	// cancel drops a job whose caller gives up; it reports whether the job was waiting.
	cancel(j *job) bool
	// ended notes at the router that a run is whole. It returns false if the policy answers the caller itself.
	ended(r *run) bool
	// failed notes at the router that a run did not reach its engine.
	failed(r *run)
	// broke notes at the router that a run was cut off.
	broke(r *run)
	// reported notes a new load report of an engine.
	reported(e *engine)
	// step runs once in each step of the world.
	step()
	// kill and restart note the end and the next start of a router.
	kill(router int)
	restart(router int)
	// cut notes that the links of an availability zone fail.
	cut()
}

// Policies are the names of all policies in the order of the table.
func Policies() []string { return []string{"product", "ideal", "fcfs", "robin", "fixed"} }

// newPolicy returns a policy by name.
func newPolicy(name string, w *world) policy {
	switch name {
	case "product":
		return newProduct(w)
	case "ideal":
		return newBaseline(w, true, fairOrder, nil)
	case "fcfs":
		return newBaseline(w, false, arrivalOrder, nil)
	case "robin":
		return newBaseline(w, false, turnOrder, nil)
	default:
		return newBaseline(w, false, fairOrder, fixedPart)
	}
}
