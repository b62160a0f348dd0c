package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the clock: the time since the machine was booted. The zero value is before all others.
type Instant time.Duration

// Now returns the current instant. If the clock cannot be read, it returns the zero value, which is never later than another
// reading, so that it cannot confirm that information is recent.
func Now() Instant {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return 0
	}
	return Instant(spec.Nano())
}

// Add returns the instant that is later by a duration, or earlier if the duration is negative.
func (i Instant) Add(duration time.Duration) Instant { return i + Instant(duration) }

// Time returns the instant as a time. The clock of that stands still while the machine is suspended, so an instant from before a suspension
// seems earlier than it was.
func (i Instant) Time() time.Time { return time.Now().Add(i.Sub(Now())) }

// Before reports whether the instant is before another one.
func (i Instant) Before(other Instant) bool { return i < other }

// Sub returns the time from another instant to this one.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }
