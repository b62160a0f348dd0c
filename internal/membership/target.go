package membership

// Target is one engine or service replica.
type Target struct {
	// Name is unique in the fleet.
	Name string
	// IsService is set for replicas of plain services, unset for model engines.
	IsService bool
	// Region is the target's region.
	Region string
	// Zone is the target's availability zone.
	Zone string
	// Address is the IP address and port for calls.
	Address string
	// Model is the model or service that it serves.
	Model string
	// Slots is the number of requests that it runs at the same time without loss of rate.
	Slots int
	// Leaving is set if it must get no new work.
	Leaving bool
	// Fenced is set if it checks fencing tokens.
	Fenced bool
}
