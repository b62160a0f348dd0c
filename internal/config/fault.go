package config

import "fmt"

// Fault is one reason why a change is invalid.
type Fault struct {
	// Path locates the field in the change, for example put_customers[2].template.
	Path string `json:"path"`
	// Message says what is wrong with the field; it reads as a sentence after the path.
	Message string `json:"message"`
}

// String returns the path and the message, separated by a space.
func (f Fault) String() string { return f.Path + " " + f.Message }

// faultList collects the faults of one change, so that all of them are reported at once.
type faultList []Fault

// add appends a fault.
func (f *faultList) add(path, format string, args ...any) {
	*f = append(*f, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// err returns the faults as an *InvalidError, or nil if there are none.
func (f faultList) err() error {
	if len(f) == 0 {
		return nil
	}
	return &InvalidError{Faults: f}
}
