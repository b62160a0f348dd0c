package entry

// Limits bounds what one customer may have open at one router. Zero means no limit.
type Limits struct {
	// MaxWaiting is the number of waiting requests.
	MaxWaiting int
	// MaxWaitingBytes is the sum of the bodies of waiting requests.
	MaxWaitingBytes int
	// MaxOpenRequests is the number of open requests, waiting and running.
	MaxOpenRequests int
}
