package topiclog

import (
	"context"
	"fmt"
	"time"
)

// Record is one record of a topic: a new value of a key, or its removal.
type Record struct {
	// Key identifies what the record is about. Later records of the same key replace earlier ones.
	Key string
	// Value is the content. It is nil if the record removes the key.
	Value []byte
	// Offset is the position of the record in the topic, zero if it is not known.
	Offset uint64
}

// FirstEra is the era of a store that has never come back from an older copy.
const FirstEra uint64 = 1

// Page is the result of a read.
type Page struct {
	// Records are the records that were read. Those of Topic.Read are in the order in which they were written.
	Records []Record
	// NextOffset is the offset from which to read on.
	NextOffset uint64
	// AsOf is the instant as of which the page is complete, as the time since the start of the call. It is negative if a peer
	// read the records before the call, and zero if the page comes from the store itself.
	AsOf time.Duration
	// Partial is set if the store ended the page early: the topic already held records from NextOffset on when it was read, so the page says
	// nothing about the newest records.
	Partial bool
	// Era is FirstEra while the store has never come back from an older copy, and higher each time that it did. Offsets of different eras cannot
	// be compared. It is zero if the store does not name it.
	Era uint64
	// FromPeer is set if the page comes from another router instead of the store.
	FromPeer bool
}

// Topic is a topic of the platform's store whose records have keys.
type Topic interface {
	// ReadNewest returns the newest record of each key that is not removed. Records that are written during the call may be
	// missing, but their offsets are then not below NextOffset of the page.
	ReadNewest(ctx context.Context) (Page, error)
	// Read returns the records from an offset on. If there are none, it waits for new ones until the deadline, then returns
	// an empty page. A page may be partial, because the store limits its size. The error is an *ExpiredError if the store no longer has the record at the offset.
	Read(ctx context.Context, from uint64, deadline time.Time) (Page, error)
	// Put writes a record. A nil value removes the key. After an error, the record may nevertheless have been written, or may
	// still be written later.
	Put(ctx context.Context, key string, value []byte) error
}

// ConditionalTopic is a topic to which records can be appended on the condition that nothing else was.
type ConditionalTopic interface {
	Topic
	// Append writes all records or none, if the topic ends at the offset. Otherwise the error is a *ConflictError. After any other error, the
	// records may have been written, or may still be written later.
	Append(ctx context.Context, at uint64, records []Record) error
}

// ConflictError reports that the topic did not end at the offset of a conditional append, so that nothing was written.
type ConflictError struct {
	// Offset is the offset of the append.
	Offset uint64
}

// Error returns the offset.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the topic does not end at offset %d any more", e.Offset)
}

// ExpiredError reports that the store dropped records before they were read.
type ExpiredError struct {
	// RequestedOffset is the offset of the read. OldestOffset is the offset of the oldest record that the store still has, zero if
	// it is not known.
	RequestedOffset, OldestOffset uint64
}

// Error returns both offsets.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records from offset %d have expired, the oldest offset is %d", e.RequestedOffset, e.OldestOffset)
}

// EraError reports a page from another era of the store than the records that were read before.
type EraError struct {
	// Known is the era of the earlier records, Received that of the page.
	Known, Received uint64
}

// Error returns both eras.
func (e *EraError) Error() string {
	return fmt.Sprintf("the store is in era %d, the known records are from era %d", e.Received, e.Known)
}

// Restored reports whether the store came back from an older copy: records that were read before may be gone, and offsets have another
// meaning. Otherwise the page is older than the known records.
func (e *EraError) Restored() bool { return e.Received > e.Known }

// checkEra returns an *EraError if a page comes from another era than the records that were read before. Zero is an unknown era.
func checkEra(known uint64, page Page) error {
	if known == 0 || page.Era == 0 || known == page.Era {
		return nil
	}
	return &EraError{Known: known, Received: page.Era}
}
