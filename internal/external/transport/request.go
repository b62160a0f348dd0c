package transport

import "time"

// Request describes an HTTP request to an external system.
type Request struct {
	// System identifies the external system in errors.
	System string
	// Address is the IP address and port of the system.
	Address string
	// Method is the HTTP method.
	Method string
	// Path is the escaped path with the query.
	Path string
	// Body is the JSON body, nil for none.
	Body []byte
	// SendDeadline is the time from which on a request with a body must not be sent, zero for none.
	SendDeadline time.Time
	// OwnConnection is set if the request must be the only one on its connection, so that no answer to an earlier request can be taken for
	// its own.
	OwnConnection bool
}
