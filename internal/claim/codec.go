package claim

import (
	"encoding/binary"

	"github.com/chicorydale/chicorydale/internal/frame"
)

// The data of a log record is a frame that contains a batch of records, each preceded by its length. A change of the version
// needs two releases, of which the first only reads the new version: a router that drops a claim written by a newer release
// would let a second claim hold the same key.
const (
	magic   = 'c'
	version = 1
)

// EncodeBatch encodes records as the data of one log record. The batch may be empty.
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

// appendRecord appends the fields of a record to data.
func appendRecord(data []byte, record Record) []byte {
	data = append(data, byte(record.Kind))
	data = append(data, record.Key[:]...)
	data = appendBytes(data, record.ClaimID)
	switch record.Kind {
	case KindClaim:
		data = binary.AppendUvarint(data, uint64(record.Customer))
		data = appendBytes(data, record.BodyHash)
		data = binary.AppendVarint(data, record.DeadlineUnixMilli)
	case KindDone:
		data = binary.AppendUvarint(data, uint64(record.Status))
		data = appendBytes(data, record.Answer)
	case KindRelease:
	}
	return data
}

// appendBytes appends the length of value and value.
func appendBytes[T string | []byte](data []byte, value T) []byte {
	return append(binary.AppendUvarint(data, uint64(len(value))), value...)
}

// DecodeBatch decodes the data of a log record. It also returns how many parts were dropped because they are malformed or of
// an unknown version or kind. A part is one record, or all remaining data if its records cannot be told apart. The records
// share memory with the data.
func DecodeBatch(data []byte) (records []Record, dropped int) {
	payload, ok := frame.Parse(data, magic, version)
	if !ok {
		return nil, 1
	}
	batch := decoder{data: payload}
	for len(batch.data) > 0 {
		body := decoder{data: batch.readBytes()}
		if batch.invalid {
			return records, dropped + 1
		}
		record := body.readRecord()
		if body.invalid || len(body.data) > 0 {
			dropped++
			continue
		}
		records = append(records, record)
	}
	return records, dropped
}
