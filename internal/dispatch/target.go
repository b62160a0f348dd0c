package dispatch

import "time"

// Target describes a process that runs requests.
type Target struct {
	// Name identifies one start of the target; a target that starts again has another name or another Born.
	Name string
	// StartUnixMilli tells the starts of targets with the same name apart.
	StartUnixMilli int64
	// Address is the IP address and port of the target.
	Address string
	// Service is the name of the service that the target belongs to.
	Service string
	// Zone is the availability zone of the target.
	Zone string
	// Region is the region of the availability zone.
	Region string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Leaving tells that the target takes no new requests.
	Leaving bool
	// WarmAt is the instant at which the target reaches its full speed after its start.
	WarmAt time.Time
}

// Load is what a target told of its load.
type Load struct {
	// Running is the number of requests that the target works on.
	Running int
	// Waiting is the number of requests that the target has accepted and not begun.
	Waiting int
	// Slots is the number of requests that it runs at once.
	Slots int
}
