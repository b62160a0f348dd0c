package config

import "time"

// DefaultEstimate is the expected cost of a request, in cost units, for a class without an estimate of its own.
const DefaultEstimate = 100

// Class describes a kind of request: how soon it should be served and how much it costs.
type Class struct {
	// PatienceMs is the time within which a request should be served, in milliseconds. It orders the waiting requests
	// of one customer.
	PatienceMs int64 `json:"patience_ms"`
	// Long excludes the requests of the class from the extra slots of a target.
	Long bool `json:"long,omitempty"`
	// Estimate is the expected cost of a request in cost units; zero means DefaultEstimate.
	Estimate int64 `json:"estimate,omitempty"`
}

// Due returns the time by which a request should be served, given the time of its arrival.
func (c Class) Due(arrival time.Time) time.Time {
	return arrival.Add(time.Duration(c.PatienceMs) * time.Millisecond)
}
