package config

import "strings"

// InvalidError is returned for a change that is invalid for any base, or for its own base.
type InvalidError struct {
	// Faults are all faults of the change, in the order of its fields.
	Faults []Fault
}

// Error lists all faults.
func (e *InvalidError) Error() string {
	texts := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		texts = append(texts, fault.String())
	}
	return "invalid change: " + strings.Join(texts, "; ")
}
