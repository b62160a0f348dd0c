package wire

// Page is the response to a read of a log stream.
type Page struct {
	// Records holds records in the order of their offsets.
	Records []Record `json:"records"`
	// FirstOffset is the offset of the oldest record that has not expired, or EndOffset if there is none.
	FirstOffset uint64 `json:"first"`
	// EndOffset is the offset after the newest record.
	EndOffset uint64 `json:"end"`
}
