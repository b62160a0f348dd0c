package claim

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A log record is a header of magic byte, version and the low half of the xxhash of the rest, followed by records that
// are each preceded by their length. A change of the version needs two releases: the first only reads the new version,
// since a reader that drops a claim of a newer writer would give the key away twice.
const (
	magic      = 'c'
	version    = 1
	headerSize = 6
)

// Encode joins records into one log record.
func Encode(records []Record) []byte {
	data := make([]byte, headerSize, headerSize+128*len(records))
	data[0], data[1] = magic, version
	var body []byte
	for _, record := range records {
		body = appendRecord(body[:0], record)
		data = binary.AppendUvarint(data, uint64(len(body)))
		data = append(data, body...)
	}
	binary.LittleEndian.PutUint32(data[2:], uint32(xxhash.Sum64(data[headerSize:])))
	return data
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
	if len(data) < headerSize || data[0] != magic || data[1] != version ||
		binary.LittleEndian.Uint32(data[2:]) != uint32(xxhash.Sum64(data[headerSize:])) {
		return nil, 1
	}
	outer := reader{data: data[headerSize:]}
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
