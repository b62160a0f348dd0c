package wire

// AppendResponse answers an append.
type AppendResponse struct {
	// Offset is the position of the new record in its stream.
	Offset uint64 `json:"offset"`
}
