package wire

import "time"

// Record is one record of a log stream.
type Record struct {
	// Offset is the position of the record in its stream, counted from zero.
	Offset uint64 `json:"offset"`
	// AppendedAt is the instant of the append by the log service's clock.
	AppendedAt time.Time `json:"at"`
	// Data is the content, in base64 on the wire.
	Data []byte `json:"data"`
}
