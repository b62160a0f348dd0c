package pool

import "time"

// sentSummary is the last summary that was sent to a neighbour.
type sentSummary struct {
	sentAt time.Time
	// waiting is set if the summary showed waiting requests.
	waiting bool
}
