package pool

import "time"

// ended is the life of a run that is over.
type ended struct {
	granted time.Time
	at      time.Time
}
