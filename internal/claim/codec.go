package claim

import (
	"encoding/binary"

	"github.com/chicorydale/chicorydale/internal/frame"
)

// A log record is a frame with records that are each preceded by their length. A change of the version needs two
// releases: the first only reads the new version, since a reader that drops a claim of a newer writer would give the key
// away twice.
const (
	magic   = 'c'
	version = 1
)

// EncodeBatch joins records into one log record.
func EncodeBatch(records []Record) []byte {
	data := frame.New(128 * len(records))
	var body []byte
	for _, record := range records {
		body = appendRecord(body[:0], record)
		data = binary.AppendUvarint(data, uint64(len(body)))
		data = append(data, body...)
	}
	return frame.WriteHeader(data, magic, version)
}

// appendRecord appends the fields of a record.
func appendRecord(data []byte, record Record) []byte {
	data = append(data, byte(record.Kind))
	data = append(data, record.Key[:]...)
	data = appendBytes(data, record.Claim)
	switch record.Kind {
	case Claimed:
		data = binary.AppendUvarint(data, uint64(record.Customer))
		data = appendBytes(data, record.BodyHash)
		data = binary.AppendVarint(data, record.Deadline)
	case Done:
		data = binary.AppendUvarint(data, uint64(record.Status))
		data = appendBytes(data, record.Answer)
	case Released:
	}
	return data
}

// appendBytes appends a length and that many bytes.
func appendBytes[T string | []byte](data []byte, value T) []byte {
	return append(binary.AppendUvarint(data, uint64(len(value))), value...)
}

// Decode returns the records of a log record and the number of parts that were dropped because they are garbage or of
// an unknown version or kind. The records share memory with the data.
func Decode(data []byte) (records []Record, dropped int) {
	content, ok := frame.Parse(data, magic, version)
	if !ok {
		return nil, 1
	}
	outer := reader{data: content}
	for len(outer.data) > 0 {
		inner := reader{data: outer.bytes()}
		if outer.bad {
			return records, dropped + 1
		}
		record := inner.record()
		if inner.bad || len(inner.data) > 0 {
			dropped++
			continue
		}
		records = append(records, record)
	}
	return records, dropped
}
