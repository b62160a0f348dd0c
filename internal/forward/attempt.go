package forward

import (
	"net/http"
	"time"
)

// Attempt is one request to one target.
type Attempt struct {
	// ID identifies the request; the target repeats it in its answer.
	ID string
	// Target is the name of the target, Address its IP address and port.
	Target, Address string
	// Method and URI are those of the request line.
	Method, URI string
	// Host is the value of the Host header.
	Host string
	// Header holds all other headers but those of the message's framing.
	Header http.Header
	// Body is the whole body, nil for none.
	Body []byte
	// HeaderDeadline is the instant until which the head of the answer must arrive, zero for the deadline.
	HeaderDeadline time.Time
	// Deadline is the instant at which the attempt ends.
	Deadline time.Time
}
