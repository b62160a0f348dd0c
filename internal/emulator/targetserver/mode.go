package targetserver

import "time"

// Mode determines how a target handles the requests that arrive while the mode is set.
type Mode int32

// Modes of a target.
const (
	// Normal runs requests and sends complete, signed responses.
	Normal Mode = iota
	// Refusing refuses requests with status 503 and X-Not-Run, without running them.
	Refusing
	// Failing runs requests and responds with a signed status 500.
	Failing
	// UnsignedUnavailable runs requests and responds with status 503 that has neither X-Replica-Seal nor X-Not-Run, so that the
	// caller cannot tell whether they ran.
	UnsignedUnavailable
	// ClosingConnection runs requests and closes the connection without a response.
	ClosingConnection
	// Truncating runs requests and closes the connection in the middle of the response.
	Truncating
	// Duplicating runs requests and sends each response twice on the same connection, the second time with another attempt id.
	Duplicating
	// LargeResponse runs requests and responds with LargeResponseBytes bytes.
	LargeResponse
	// LargeTruncated is like LargeResponse, but closes the connection in the middle of the response.
	LargeTruncated
	// LargeHead is like LargeResponse, but closes the connection after the head of the response.
	LargeHead
	// RestartingStreams ignores Last-Event-Id and sends each stream from its first event.
	RestartingStreams
	// UnsignedSuccess runs requests and responds with status 200 without X-Replica-Seal.
	UnsignedSuccess
	// Unframed runs requests and sends complete, signed responses without a length or chunks, which end with their connection.
	Unframed
	// UnframedTruncated is like Unframed, but the connection ends inside an event of a stream, without a reset, or is reset in the middle of
	// another response. A crash ends in the same way.
	UnframedTruncated
	// Unresponsive runs requests and sends nothing until the caller disconnects.
	Unresponsive
	// EndlessEvent runs requests and sends streams whose first event has no end, until the caller closes the connection. It is not for
	// other responses.
	EndlessEvent
	// Dripping runs requests and sends streams that stop inside their third event, of which one more byte comes every 100 ms until the caller
	// closes the connection.
	Dripping
	// AtDeadline runs requests until their deadline and sends signed responses then: streams and the responses to safe requests with status 200,
	// others with status 504. It is the time at which a target stops its work.
	AtDeadline
	// SilentBeforeAnswer and SilentInStream run requests like Normal, but send nothing for SilentTime, before the head of the response or after the
	// first event of a stream.
	SilentBeforeAnswer
	SilentInStream
)

// SilentTime is how long a target is silent in the modes SilentBeforeAnswer and SilentInStream.
const SilentTime = 1200 * time.Millisecond
