package logserver

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/outside/wire"
)

const (
	// pageRecords bounds the records of one page.
	pageRecords = 1000
	// pageBytes bounds the data of one page; the first record is sent whatever its size.
	pageBytes = 1 << 20
)

// stream is one stream of the log.
type stream struct {
	records []wire.Record
	end     uint64
	changed chan struct{}
}

// newStream returns an empty stream.
func newStream() *stream {
	return &stream{changed: make(chan struct{})}
}

// add appends a record and wakes the readers.
func (s *stream) add(now time.Time, data []byte) uint64 {
	offset := s.end
	s.end++
	s.records = append(s.records, wire.Record{Offset: offset, AppendedAt: now, Data: data})
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// expire drops the records from before an instant.
func (s *stream) expire(before time.Time) {
	for len(s.records) > 0 && s.records[0].AppendedAt.Before(before) {
		s.records = s.records[1:]
	}
}

// page returns the records from an offset on, as many as one page holds.
func (s *stream) page(from uint64) wire.Page {
	first := s.end - uint64(len(s.records))
	page := wire.Page{Records: []wire.Record{}, FirstOffset: first, EndOffset: s.end}
	size := 0
	for offset := max(from, first); offset < s.end && len(page.Records) < pageRecords; offset++ {
		record := s.records[offset-first]
		size += len(record.Data)
		if size > pageBytes && len(page.Records) > 0 {
			break
		}
		page.Records = append(page.Records, record)
	}
	return page
}
