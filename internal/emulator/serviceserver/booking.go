package serviceserver

// Booking is one execution of the operation book.
type Booking struct {
	// Number is the position of the booking in the list of the target, counted from one.
	Number int `json:"number"`
	// Key is the idempotency key of the call.
	Key string `json:"key"`
	// Arguments are the arguments of the call.
	Arguments map[string]string `json:"arguments"`
}
