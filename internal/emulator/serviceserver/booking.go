package serviceserver

// Booking is one execution of the operation book.
type Booking struct {
	// Number counts the executions of the replica from one.
	Number int `json:"number"`
	// Key is the caller's idempotency key.
	Key string `json:"key"`
	// Arguments are the arguments of the call.
	Arguments map[string]string `json:"arguments"`
}
