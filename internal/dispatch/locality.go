package dispatch

import "time"

// Locality is where a process runs.
type Locality struct {
	// Zone is the availability zone.
	Zone string
	// Region is the region of the availability zone.
	Region string
}

const (
	// crossZoneCost is the cost in seconds of sending a request to another availability zone of the region.
	crossZoneCost = 0.004
	// crossRegionCost is the cost in seconds of sending a request to another region. It covers the round trip and the bytes on
	// billed links.
	crossRegionCost = 0.06
)

const (
	// crossZoneDelay and crossRegionDelay are the typical round-trip times to another availability zone of the region and to another region.
	crossZoneDelay   = 2 * time.Millisecond
	crossRegionDelay = 25 * time.Millisecond
)

// networkDelay returns the typical round-trip time from the locality to a target.
func (l Locality) networkDelay(target *Target) time.Duration {
	switch {
	case target.Zone == l.Zone:
		return 0
	case target.Region == l.Region:
		return crossZoneDelay
	default:
		return crossRegionDelay
	}
}

// networkCost returns the cost in seconds of sending a request from the locality to a target.
func (l Locality) networkCost(target *Target) float64 {
	switch {
	case target.Zone == l.Zone:
		return 0
	case target.Region == l.Region:
		return crossZoneCost
	default:
		return crossRegionCost
	}
}
