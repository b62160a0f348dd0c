package dispatch

// Locality is where a process runs.
type Locality struct {
	// Zone is the availability zone.
	Zone string
	// Region is the region of the availability zone.
	Region string
}

const (
	// otherZone is the cost of a request to another availability zone of the region, in seconds.
	otherZone = 0.004
	// otherRegion is the cost of a request to another region, in seconds. It stands for the round trip and for the bytes
	// on billed links.
	otherRegion = 0.06
)

// distance returns the cost of sending a request from a place to a target, in seconds.
func (p Locality) distance(target *Target) float64 {
	switch {
	case target.Zone == p.Zone:
		return 0
	case target.Region == p.Region:
		return otherZone
	default:
		return otherRegion
	}
}
