package entry

import "time"

// Option changes a parameter of a queue.
type Option func(*Queue)

// WithProgressInterval sets how often progress of runs is reported; it is 500 ms by default.
func WithProgressInterval(every time.Duration) Option {
	return func(q *Queue) { q.every = every }
}
