package message

// Append is an append to a log stream that a decision core asks for.
type Append struct {
	// ID is echoed with the result; it is unique for the core that asks.
	ID uint64
	// Stream is the log stream.
	Stream string
	// Data is the record.
	Data []byte
}

// Position is a log stream that a decision core follows.
type Position struct {
	// Stream is the log stream.
	Stream string
	// Offset is the offset of the next record that the core wants.
	Offset uint64
}

// Effects are what a tick of a decision core asks of its surroundings.
type Effects struct {
	// Envelopes are messages to send, in order.
	Envelopes []Envelope
	// Appends are appends to start, in order.
	Appends []Append
}
