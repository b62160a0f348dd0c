package cursor

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/message"
)

// Cursor is the position up to which a log stream was read, with the state of the last reads. It does no I/O: its owner reads
// the log and passes in the results. A Cursor is not safe for concurrent use.
type Cursor struct {
	stream       string
	nextOffset   uint64
	reachedEnd   bool
	failingSince time.Time
}

// New returns a cursor at offset 0 of a stream.
func New(stream string) *Cursor { return &Cursor{stream: stream} }

// Position returns the stream and the offset of the next record to read.
func (c *Cursor) Position() message.Position {
	return message.Position{Stream: c.stream, Offset: c.nextOffset}
}

// ReachedEnd reports whether the stream was read to its end at least once. It stays true when records are appended later.
func (c *Cursor) ReachedEnd() bool { return c.reachedEnd }

// Failed records a failed read. The stream counts as failing until Advance accepts a page.
func (c *Cursor) Failed(now time.Time) {
	if c.failingSince.IsZero() {
		c.failingSince = now
	}
}

// FailingFor reports whether reads have been failing for at least a duration. With a duration of 0 it reports whether the last
// read has failed.
func (c *Cursor) FailingFor(now time.Time, duration time.Duration) bool {
	return !c.failingSince.IsZero() && now.Sub(c.failingSince) >= duration
}

// Advance moves the cursor past the records of a page and returns those that it has not returned before. It also reports
// whether records before them were lost, because the log does not retain them any more. A page whose records begin after the
// expected offset was read for another position and is ignored.
func (c *Cursor) Advance(page external.Page) (records []external.Record, lost bool) {
	next := max(c.nextOffset, page.FirstOffset)
	records = page.Records
	for len(records) > 0 && records[0].Offset < next {
		records = records[1:]
	}
	if len(records) > 0 && records[0].Offset != next {
		return nil, false
	}
	lost = next > c.nextOffset
	count := 0
	for count < len(records) && records[count].Offset == next {
		next++
		count++
	}
	c.nextOffset = next
	c.failingSince = time.Time{}
	if c.nextOffset >= page.EndOffset {
		c.reachedEnd = true
	}
	return records[:count], lost
}
