package dispatch

import "time"

// Locality is where a process runs.
type Locality struct {
	// Zone is the availability zone.
	Zone string
	// Region is the region of the availability zone.
	Region string
}

// path is what it takes to send a request to a target: the typical round-trip time, and the cost in seconds, which also covers the bytes on
// billed links.
type path struct {
	delay time.Duration
	cost  float64
}

// Paths to targets in another availability zone of the region and in another region. The path within a zone is the zero path.
var (
	crossZonePath   = path{delay: 2 * time.Millisecond, cost: 0.004}
	crossRegionPath = path{delay: 25 * time.Millisecond, cost: 0.06}
)

// pathTo returns the path from the locality to a target.
func (l Locality) pathTo(target *Target) path {
	switch {
	case target.Zone == l.Zone:
		return path{}
	case target.Region == l.Region:
		return crossZonePath
	default:
		return crossRegionPath
	}
}

// networkDelay returns the typical round-trip time from the locality to a target.
func (l Locality) networkDelay(target *Target) time.Duration { return l.pathTo(target).delay }

// networkCost returns the cost in seconds of sending a request from the locality to a target.
func (l Locality) networkCost(target *Target) float64 { return l.pathTo(target).cost }
