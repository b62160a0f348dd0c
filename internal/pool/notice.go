package pool

import "time"

// notice is the last summary that a neighbour got.
type notice struct {
	at      time.Time
	waiting bool
}
