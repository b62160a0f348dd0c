package fault

// Fault describes how an emulated system fails. The zero value injects no failure.
type Fault struct {
	// Down rejects each request with status 503 before it takes effect.
	Down bool `json:"down,omitempty"`
	// DropConnections closes the connection of each request without a response, before the request takes effect.
	DropConnections bool `json:"cut,omitempty"`
	// DelayMS delays each request by this many milliseconds. The request takes effect even if its client has disconnected.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// DropResponseEvery closes the connection instead of responding to every n-th request other than GET, after the request
	// took effect: 1 drops all responses, 0 none.
	DropResponseEvery int `json:"lose_every,omitempty"`
	// FreezeReports stops updates of the published load report or host list.
	FreezeReports bool `json:"freeze,omitempty"`
}
