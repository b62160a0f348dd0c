package config

import "cmp"

// Limits bound what one customer may hold at one router. A value of zero is not set.
type Limits struct {
	// Waiting is the number of waiting requests.
	Waiting int `json:"waiting,omitempty"`
	// WaitingBytes is the size of all waiting requests.
	WaitingBytes int64 `json:"waiting_bytes,omitempty"`
	// Connections is the number of open calls.
	Connections int `json:"connections,omitempty"`
	// BodyBytes is the size of one request body.
	BodyBytes int64 `json:"body_bytes,omitempty"`
}

// DefaultLimits returns the limits that apply where neither customer nor template sets one: 1,000 waiting requests,
// 16 MiB of waiting requests, 1,000 open calls, and bodies of 1 MiB.
func DefaultLimits() Limits {
	return Limits{Waiting: 1000, WaitingBytes: 16 << 20, Connections: 1000, BodyBytes: 1 << 20}
}

// WithDefaults returns the limits with each value that is not set taken from defaults.
func (l Limits) WithDefaults(defaults Limits) Limits {
	return Limits{
		Waiting:      cmp.Or(l.Waiting, defaults.Waiting),
		WaitingBytes: cmp.Or(l.WaitingBytes, defaults.WaitingBytes),
		Connections:  cmp.Or(l.Connections, defaults.Connections),
		BodyBytes:    cmp.Or(l.BodyBytes, defaults.BodyBytes),
	}
}
