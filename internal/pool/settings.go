package pool

import "time"

// settings are the parameters of a scheduler.
type settings struct {
	near time.Duration
	far  time.Duration
	life time.Duration
}
