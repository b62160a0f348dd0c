package config

import "strings"

// InvalidError is returned for a change that can never take effect: it cannot be decoded, or it is invalid in any state or
// in the one that it is based on.
type InvalidError struct {
	// Faults are all faults of the change.
	Faults []Fault
}

// Error returns all faults, separated by semicolons.
func (e *InvalidError) Error() string {
	texts := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		texts = append(texts, fault.String())
	}
	return "invalid change: " + strings.Join(texts, "; ")
}
