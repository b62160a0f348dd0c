package keyed

import (
	"context"
	"fmt"
	"time"
)

// Record is the newest value of a key.
type Record struct {
	// Key identifies the record.
	Key string
	// Value is the content; it is nil if the key was removed.
	Value []byte
	// Offset is the place of the record in the topic, zero if it is not known.
	Offset uint64
}

// Page holds records in the order in which they were written.
type Page struct {
	// Records are the records of the page.
	Records []Record
	// NextOffset is the offset after the page.
	NextOffset uint64
	// AsOf is the time from the call until the instant as of which the page is complete. It is negative if that was before
	// the call, and zero for answers of the store itself.
	AsOf time.Duration
	// FromPeer is set if another router answered for the store.
	FromPeer bool
}

// Topic is a topic of the platform's store.
type Topic interface {
	// ReadNewest returns the newest record of each key. Records that are written meanwhile may be missing; they stand
	// after the page's offset.
	ReadNewest(ctx context.Context) (Page, error)
	// Read returns the records from an offset on. If there are none, it waits for some until the deadline. The error
	// is an *ExpiredError if the records are not kept any more.
	Read(ctx context.Context, from uint64, deadline time.Time) (Page, error)
	// Put writes a record; a nil value removes the key. After an error it may have been written, or be written later.
	Put(ctx context.Context, key string, value []byte) error
}

// ExpiredError says that records were dropped before they were read.
type ExpiredError struct {
	// From is the offset that was asked for, First that of the oldest record.
	From, First uint64
}

// Error describes the gap.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records from offset %d are gone, the oldest is %d", e.From, e.First)
}
