package dispatch

// RecordRateLimit records the number of requests per second that a target takes from all routers together, as its last answer says; 0
// means that it names no limit. It reports whether that differs from what was known.
func (d *Dispatcher) RecordRateLimit(target string, perSecond float64) bool {
	state, listed := d.targets[target]
	if !listed || state.rateLimit == perSecond {
		return false
	}
	state.rateLimit = perSecond
	return true
}
