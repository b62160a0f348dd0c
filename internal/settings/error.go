package settings

import "strings"

// Error holds all faults of a settings file.
type Error struct {
	// Faults are in the order of the file; faults between fields come last.
	Faults []Fault
}

// Error returns one line for each fault.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
