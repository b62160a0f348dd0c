package membership

// Target describes one model engine or one replica of a plain service.
type Target struct {
	// Name is unique in the fleet.
	Name string
	// IsService is set for replicas of plain services, and not for model engines.
	IsService bool
	// Region is the name of the target's region.
	Region string
	// Zone is the name of the target's availability zone.
	Zone string
	// Address is the IP address and port on which the target accepts requests.
	Address string
	// Model is the name of the model or plain service that the target serves.
	Model string
	// Slots is the number of requests that the target can run concurrently without a loss of throughput.
	Slots int
	// Leaving is set if the target must not get new requests.
	Leaving bool
	// Fenced is set if the target checks fencing tokens.
	Fenced bool
}
