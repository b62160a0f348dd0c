package router

import (
	"math"
	"strconv"
	"time"
)

// retryAfter returns the value of a Retry-After header for an instant: whole seconds, at least one.
func retryAfter(at time.Time) string {
	return strconv.Itoa(max(1, int(math.Ceil(time.Until(at).Seconds()))))
}
