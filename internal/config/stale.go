package config

import "fmt"

// StaleError is returned for a change that is not based on the current version.
type StaleError struct {
	// Base is the version that the change is based on.
	Base uint64
	// Version is the current version of the state.
	Version uint64
}

// Error returns a message with both versions.
func (e *StaleError) Error() string {
	return fmt.Sprintf("change builds on version %d, the current version is %d", e.Base, e.Version)
}
