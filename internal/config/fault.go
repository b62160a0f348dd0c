package config

import "fmt"

// Fault is one reason for which a change is invalid.
type Fault struct {
	// Path is the field, for example put_customers[2].template.
	Path string `json:"path"`
	// Message says what is wrong with the field.
	Message string `json:"message"`
}

// String returns the path and the message.
func (f Fault) String() string { return f.Path + " " + f.Message }

// faults collects all faults of one change.
type faults []Fault

// add notes a fault.
func (f *faults) add(path, format string, args ...any) {
	*f = append(*f, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// err returns an *InvalidError, or nil if there is no fault.
func (f faults) err() error {
	if len(f) == 0 {
		return nil
	}
	return &InvalidError{Faults: f}
}
