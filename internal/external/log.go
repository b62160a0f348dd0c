package external

import (
	"context"
	"time"
)

// Record is a record of a log stream.
type Record struct {
	// Offset is the position of the record in its stream, from zero.
	Offset uint64
	// AppendedAt is the time of the append by the log service's clock.
	AppendedAt time.Time
	// Data is the content of the record.
	Data []byte
}

// Page is the result of one read of a log stream.
type Page struct {
	// Records holds records in the order of their offsets. The first may be later than the requested offset if records have
	// expired.
	Records []Record
	// FirstOffset is the offset of the oldest record that has not expired, or EndOffset if there is none.
	FirstOffset uint64
	// EndOffset is the offset after the newest record, where the next append goes.
	EndOffset uint64
}

// Log is the platform's append-only log service.
type Log interface {
	// Append appends a record to a stream and returns its offset. An *UnsettledError means that the append may have taken
	// effect or may still do so; any other error means that it had no effect.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns the records of a stream from an offset on. If there are none, it waits for an append until the deadline
	// and then returns a page without records.
	Read(ctx context.Context, stream string, from uint64, deadline time.Time) (Page, error)
}
