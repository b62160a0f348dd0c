package fault

// Fault tells how a system fails. The zero value is a system without faults.
type Fault struct {
	// Down refuses all requests with status 503, without effect.
	Down bool `json:"down,omitempty"`
	// DropConnections closes the connection of each request without an answer and without effect.
	DropConnections bool `json:"cut,omitempty"`
	// DelayMS delays each request by this many milliseconds. The request takes effect even if its client is gone.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// DropResponseEvery loses the answer to every n-th request that is no GET, after its effect: 1 loses all.
	DropResponseEvery int `json:"lose_every,omitempty"`
	// FreezeReports keeps load reports and the host list as they are.
	FreezeReports bool `json:"freeze,omitempty"`
}
