package config

import "fmt"

// RepeatedError is returned for a change that took effect before.
type RepeatedError struct {
	// Version is the version that the change made.
	Version uint64
}

// Error names the version.
func (e *RepeatedError) Error() string {
	return fmt.Sprintf("change took effect before, as version %d", e.Version)
}
