package config

import "fmt"

// StaleError is returned for a change that does not build on the current version.
type StaleError struct {
	// Base is the version that the change builds on.
	Base uint64
	// Version is the current version.
	Version uint64
}

// Error names both versions.
func (e *StaleError) Error() string {
	return fmt.Sprintf("change builds on version %d, the current version is %d", e.Base, e.Version)
}
