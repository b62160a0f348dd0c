package dispatch

import "time"

// Target describes a process that runs requests.
type Target struct {
	// Name identifies the target. After a restart, a target has another name or another StartUnixMilli.
	Name string
	// StartUnixMilli is the start time in milliseconds since the Unix epoch, 0 if unknown. It tells apart two starts under the
	// same name.
	StartUnixMilli int64
	// Address is the IP address and port of the target.
	Address string
	// Service is the name of the service that the target belongs to.
	Service string
	// Build is the version of the target's software, empty if it is not known.
	Build string
	// Zone is the availability zone of the target.
	Zone string
	// Region is the region of the availability zone.
	Region string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Leaving is set if the target takes no new requests.
	Leaving bool
	// WarmAt is the time at which the target reaches its full speed after its start.
	WarmAt time.Time
}

// Load is the load that a target reported.
type Load struct {
	// Running is the number of requests that the target is working on.
	Running int
	// Waiting is the number of requests that the target has accepted and not started.
	Waiting int
	// Slots is the number of requests that the target runs at once, 0 if it was not reported.
	Slots int
}
