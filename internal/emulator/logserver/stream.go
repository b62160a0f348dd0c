package logserver

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/external/wire"
)

const (
	// maxPageRecords bounds the number of records in one page.
	maxPageRecords = 1000
	// maxPageBytes bounds the size of the data in one page. The first record is sent whatever its size.
	maxPageBytes = 1 << 20
)

// stream is one stream of the log. The lock of the server guards it.
type stream struct {
	records []wire.Record
	// endOffset is the offset after the newest record.
	endOffset uint64
	// changed is closed and replaced at each append.
	changed chan struct{}
}

// newStream returns an empty stream.
func newStream() *stream {
	return &stream{changed: make(chan struct{})}
}

// append appends a record, wakes the waiting readers and returns the offset of the record.
func (s *stream) append(now time.Time, data []byte) uint64 {
	offset := s.endOffset
	s.endOffset++
	s.records = append(s.records, wire.Record{Offset: offset, AppendedAt: now, Data: data})
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// dropBefore drops the records that were appended before the cutoff.
func (s *stream) dropBefore(cutoff time.Time) {
	for len(s.records) > 0 && s.records[0].AppendedAt.Before(cutoff) {
		s.records = s.records[1:]
	}
}

// readPage returns the records from an offset on, as many as fit into one page. It starts at the oldest record if the offset
// has expired.
func (s *stream) readPage(from uint64) wire.Page {
	first := s.endOffset - uint64(len(s.records))
	page := wire.Page{Records: []wire.Record{}, FirstOffset: first, EndOffset: s.endOffset}
	size := 0
	for offset := max(from, first); offset < s.endOffset && len(page.Records) < maxPageRecords; offset++ {
		record := s.records[offset-first]
		size += len(record.Data)
		if size > maxPageBytes && len(page.Records) > 0 {
			break
		}
		page.Records = append(page.Records, record)
	}
	return page
}
