package requestqueue

import "time"

// Class holds the scheduling parameters of one class of a customer's requests.
type Class struct {
	// Patience is the time from submission until a request is due. Requests of one customer are ordered by due time;
	// passing it does not end a request.
	Patience time.Duration
	// Long is set if requests of the class may use only the regular slots of a target, not its extra ones.
	Long bool
}
