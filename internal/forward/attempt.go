package forward

import (
	"net/http"
	"time"
)

// Attempt is one attempt to send a request, to one target.
type Attempt struct {
	// ID identifies the request. The target repeats it in its response.
	ID string
	// Target is the name of the target and Address its IP address and port.
	Target, Address string
	// StartUnixMilli is the start of the target that must get the request, in Unix milliseconds, and zero for any. A target that does not
	// tell its start gets the request nevertheless, unless StartRequired is set.
	StartUnixMilli int64
	StartRequired  bool
	// Method and URI form the request line. They are sent unchanged.
	Method, URI string
	// Host is the value of the Host header.
	Host string
	// Header holds the other headers, without those that frame the body: Content-Length is added, and bodies are not chunked.
	Header http.Header
	// Body is the complete body, nil for none.
	Body []byte
	// HeaderDeadline is when the head of the response must have arrived. If it is zero, only Deadline applies.
	HeaderDeadline time.Time
	// Silence ends the attempt before, if the target sends nothing.
	Silence SilenceCheck
	// Deadline is when the attempt ends, including the body of the response.
	Deadline time.Time
}
