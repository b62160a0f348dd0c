package client

import "fmt"

// ProtocolError is the error of a response that does not follow the documented protocol.
type ProtocolError struct {
	// Problem describes the violation.
	Problem string
}

// Error returns a message with the problem.
func (e *ProtocolError) Error() string {
	return "the router sent an invalid response: " + e.Problem
}

// protocolErrorf returns a *ProtocolError with a formatted problem.
func protocolErrorf(format string, args ...any) error {
	return &ProtocolError{Problem: fmt.Sprintf(format, args...)}
}
