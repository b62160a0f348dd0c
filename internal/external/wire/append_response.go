package wire

// AppendResponse is the response to an append to a log stream.
type AppendResponse struct {
	// Offset is the position of the new record in its stream, from zero.
	Offset uint64 `json:"offset"`
}
