package outside

import (
	"context"
	"time"
)

// Record is one record of a log stream.
type Record struct {
	// Offset is the position of the record in its stream, counted from zero.
	Offset uint64
	// AppendedAt is the instant of the append by the log service's clock.
	AppendedAt time.Time
	// Data is the content of the record.
	Data []byte
}

// Page is the answer to one read of a log stream.
type Page struct {
	// Records are in the order of their offsets; the first may be later than the asked offset if records expired.
	Records []Record
	// FirstOffset is the offset of the oldest record that the log still keeps, or End if it keeps none.
	FirstOffset uint64
	// EndOffset is the offset after the newest record.
	EndOffset uint64
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record to a stream and returns its offset. An error of type *UnsettledError means that the append
	// may have taken effect or may still do so; any other error means that it did not.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns the records of a stream from an offset on. If there are none, it waits for some until the
	// deadline, then returns an empty page.
	Read(ctx context.Context, stream string, from uint64, deadline time.Time) (Page, error)
}
