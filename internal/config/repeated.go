package config

import "fmt"

// RepeatedError is returned for a change that has already taken effect.
type RepeatedError struct {
	// Version is the version of the state that resulted from the change.
	Version uint64
}

// Error returns a message with the version.
func (e *RepeatedError) Error() string {
	return fmt.Sprintf("change took effect before, as version %d", e.Version)
}
