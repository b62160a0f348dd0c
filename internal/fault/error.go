package fault

import "strings"

// Error holds all faults of a file.
type Error struct {
	// Faults are in the order of the file; faults between fields come last.
	Faults []Fault
}

// Join returns an *Error with the faults, or nil if there are none.
func Join(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	return &Error{Faults: faults}
}

// Error returns one line for each fault.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
