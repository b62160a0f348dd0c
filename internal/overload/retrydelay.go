package overload

import "time"

const (
	// minRetryDelay is the shortest time after which callers that were refused unread are told to come back, unless their deadline is near.
	minRetryDelay = 10 * time.Millisecond
	// minRetrySpread is the least time over which returning callers are spread out.
	minRetrySpread = 100 * time.Millisecond
	// maxRetryDelay is the longest delay for callers whose deadline is not known.
	maxRetryDelay = time.Second
	// latenessFactor is the spread in multiples of the lateness of the process.
	latenessFactor = 2
	// ampleSpare is the processor time per second that peers must have left for callers to be sent to them without further delay. fullSpread is
	// added to the spread if they have none left.
	ampleSpare = 500 * time.Millisecond
	fullSpread = time.Second
	// maxWaitFraction is the part of the time until its deadline for which a caller stays away.
	maxWaitFraction = 1.0 / 3
)

// RetryDelay returns the time after which a caller that was refused unread is told to come back. Callers of a later process wait longer, because
// refusing them again would make it later still, and so do those of a zone whose other routers have little processor time left. timeLeft
// is the time until the caller's deadline, zero if it is not known. random is a random number from 0 to 1.
func RetryDelay(lateness, spare, timeLeft time.Duration, random float64) time.Duration {
	longest := maxRetryDelay
	if timeLeft != 0 {
		longest = max(time.Duration(float64(timeLeft)*maxWaitFraction), 0)
	}
	fullness := 1 - min(float64(spare)/float64(ampleSpare), 1)
	spread := max(latenessFactor*lateness, minRetrySpread) + time.Duration(fullness*float64(fullSpread))
	spread = min(spread, longest)
	shortest := min(minRetryDelay, spread)
	return shortest + time.Duration(random*float64(spread-shortest))
}
