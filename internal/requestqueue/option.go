package requestqueue

import "time"

// Option sets an optional parameter of a Queue.
type Option func(*Queue)

// WithProgressInterval sets the least time between two progress reports to a scheduler; the default is 500 ms.
func WithProgressInterval(interval time.Duration) Option {
	return func(q *Queue) { q.progressInterval = interval }
}
