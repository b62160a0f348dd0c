package forward

import "time"

// SilenceCheck tells when it is asked whether an attempt ends because its target sends nothing. The zero value asks never.
type SilenceCheck struct {
	// At is when it is asked first, if nothing has arrived since the read began. It is zero if it is never asked.
	At time.Time
	// GoOn returns when to ask again if the attempt goes on, and zero if the read is to fail with a timeout.
	GoOn func() (askAgainAt time.Time)
}

// appliesBefore reports whether the check comes before a deadline.
func (s SilenceCheck) appliesBefore(deadline time.Time) bool {
	return s.GoOn != nil && !s.At.IsZero() && s.At.Before(deadline)
}
