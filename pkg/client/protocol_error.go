package client

import "fmt"

// ProtocolError is the error of an answer that is not of the documented form.
type ProtocolError struct {
	// Problem says what is wrong.
	Problem string
}

// Error describes the problem.
func (e *ProtocolError) Error() string {
	return "the answer is not of the documented form: " + e.Problem
}

// protocol returns a protocol error with a formatted problem.
func protocol(format string, args ...any) error {
	return &ProtocolError{Problem: fmt.Sprintf(format, args...)}
}
