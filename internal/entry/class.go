package entry

import "time"

// Class holds the parameters of one class of requests.
type Class struct {
	// Patience is the time after arrival at which a request of the class is due.
	Patience time.Duration
	// Long is set if requests of the class may not take the extra slots of a target.
	Long bool
}
