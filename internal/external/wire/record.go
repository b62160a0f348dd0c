package wire

import "time"

// Record is a record of a log stream. Its fields are the same as those of outside.Record.
type Record struct {
	// Offset is the position of the record in its stream, from zero.
	Offset uint64 `json:"offset"`
	// AppendedAt is the time of the append by the log service's clock.
	AppendedAt time.Time `json:"at"`
	// Data is the content of the record, encoded as base64 in JSON.
	Data []byte `json:"data"`
}
