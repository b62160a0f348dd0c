package config

import "cmp"

// Limits bound the resources of one customer at one router. Zero means that a limit is not set.
type Limits struct {
	// Waiting is the maximum number of waiting requests.
	Waiting int `json:"waiting,omitempty"`
	// WaitingBytes is the maximum total size of the waiting requests.
	WaitingBytes int64 `json:"waiting_bytes,omitempty"`
	// Connections is the maximum number of open calls.
	Connections int `json:"connections,omitempty"`
	// BodyBytes is the maximum size of one request body.
	BodyBytes int64 `json:"body_bytes,omitempty"`
}

// DefaultLimits returns the limits that apply where neither the customer nor its template sets one: 1,000 waiting
// requests of 16 MiB in total, 1,000 open calls, and request bodies of 1 MiB.
func DefaultLimits() Limits {
	return Limits{Waiting: 1000, WaitingBytes: 16 << 20, Connections: 1000, BodyBytes: 1 << 20}
}

// WithDefaults returns the limits, with those that are not set taken from defaults.
func (l Limits) WithDefaults(defaults Limits) Limits {
	return Limits{
		Waiting:      cmp.Or(l.Waiting, defaults.Waiting),
		WaitingBytes: cmp.Or(l.WaitingBytes, defaults.WaitingBytes),
		Connections:  cmp.Or(l.Connections, defaults.Connections),
		BodyBytes:    cmp.Or(l.BodyBytes, defaults.BodyBytes),
	}
}
