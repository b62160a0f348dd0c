package validation

import "strings"

// Error is the error of a file with one or more faults.
type Error struct {
	// Faults are in the order of the fields in the file, followed by faults that concern several fields.
	Faults []Fault
}

// Join returns an *Error with the faults, or nil if there are none. The error keeps the slice.
func Join(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	return &Error{Faults: faults}
}

// Error returns the faults, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
