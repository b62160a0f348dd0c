package requestqueue

// Limits bounds the open requests of one customer at one router. Zero means no limit.
type Limits struct {
	// MaxWaiting bounds the number of waiting requests.
	MaxWaiting int
	// MaxWaitingBytes bounds the total size of the bodies of waiting requests.
	MaxWaitingBytes int
	// MaxOpenRequests bounds the number of open requests, waiting or running. The configuration calls it connections.
	MaxOpenRequests int
}
