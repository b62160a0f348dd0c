package overload

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetryDelay and maxRetryDelay bound the time after which callers that were refused unread are told to come back.
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = time.Second
	// latenessFactor is the longest delay in multiples of the lateness of the process, beside minRetryDelay.
	latenessFactor = 2
)

// RetryDelay returns the time after which a caller that was refused unread is told to come back. Callers of a later process wait longer, because
// refusing them again would make it later still.
func RetryDelay(lateness time.Duration) time.Duration {
	longest := min(max(latenessFactor*lateness, 10*minRetryDelay), maxRetryDelay)
	return minRetryDelay + rand.N(longest-minRetryDelay)
}
