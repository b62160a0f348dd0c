package cursor

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/outside"
)

// Cursor is the place up to which a stream was read.
type Cursor struct {
	stream   string
	next     uint64
	loaded   bool
	failedAt time.Time
}

// New returns a cursor at the beginning of a stream.
func New(stream string) *Cursor { return &Cursor{stream: stream} }

// Position returns the stream and the offset of the next record.
func (c *Cursor) Position() message.Position {
	return message.Position{Stream: c.stream, From: c.next}
}

// ReachedEnd tells whether the stream was read to its end once.
func (c *Cursor) ReachedEnd() bool { return c.loaded }

// Failed notes a failed read.
func (c *Cursor) Failed(now time.Time) {
	if c.failedAt.IsZero() {
		c.failedAt = now
	}
}

// FailingFor tells whether reads have failed for longer than the grace period.
func (c *Cursor) FailingFor(now time.Time, grace time.Duration) bool {
	return !c.failedAt.IsZero() && now.Sub(c.failedAt) >= grace
}

// Advance returns the records of a page that follow those taken before, and whether records before them were lost because
// the log no longer keeps them. A page that was read for another position and does not join on is ignored.
func (c *Cursor) Advance(page outside.Page) (records []outside.Record, lost bool) {
	from := max(c.next, page.First)
	records = page.Records
	for len(records) > 0 && records[0].Offset < from {
		records = records[1:]
	}
	if len(records) > 0 && records[0].Offset != from {
		return nil, false
	}
	lost = from > c.next
	count := 0
	for count < len(records) && records[count].Offset == from {
		from++
		count++
	}
	c.next = from
	c.failedAt = time.Time{}
	if c.next >= page.End {
		c.loaded = true
	}
	return records[:count], lost
}
