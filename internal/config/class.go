package config

import "time"

// DefaultEstimate is the expected cost of a request, in units, of a class that names none.
const DefaultEstimate = 100

// Class is a kind of request with its own patience and size.
type Class struct {
	// PatienceMs orders the requests of one customer, in milliseconds.
	PatienceMs int64 `json:"patience_ms"`
	// Long is set if the class does not take the extra slots of a target.
	Long bool `json:"long,omitempty"`
	// Estimate is the expected cost in units, zero for DefaultEstimate.
	Estimate int64 `json:"estimate,omitempty"`
}

// Due returns the instant by which a request that arrived at the given one should be served.
func (c Class) Due(arrival time.Time) time.Time {
	return arrival.Add(time.Duration(c.PatienceMs) * time.Millisecond)
}
