package router

import (
	"math"
	"strconv"
	"time"
)

// retryAfter returns the value of a Retry-After header for an instant: the time until then in seconds, rounded up, and at
// least 1.
func retryAfter(at time.Time) string {
	return strconv.Itoa(max(1, int(math.Ceil(time.Until(at).Seconds()))))
}
