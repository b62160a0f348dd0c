package message

// Append is a request of a decision core to append a record to a log stream.
type Append struct {
	// ID is passed back to the core with the result. It is unique within the core.
	ID uint64
	// Stream is the name of the log stream.
	Stream string
	// Data is the content of the record.
	Data []byte
}

// Position is the position at which a decision core wants to read a log stream.
type Position struct {
	// Stream is the name of the log stream.
	Stream string
	// Offset is the offset of the next record to read.
	Offset uint64
}

// Effects are what a decision core asks its caller to do after a tick.
type Effects struct {
	// Envelopes are messages to send, in order.
	Envelopes []Envelope
	// Appends are appends to start, in order.
	Appends []Append
}
