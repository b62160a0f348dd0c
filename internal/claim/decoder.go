package claim

import (
	"encoding/binary"
	"math"
)

// reader takes fields off encoded data; bad is set once a field is missing or out of range.
type reader struct {
	data []byte
	bad  bool
}

// record takes one record.
func (r *reader) record() Record {
	record := Record{}
	if head := r.take(1); head != nil {
		record.Kind = Kind(head[0])
	}
	copy(record.Key[:], r.take(len(record.Key)))
	record.Claim = string(r.bytes())
	switch record.Kind {
	case Claimed:
		record.Customer = r.uint32()
		record.BodyHash = r.bytes()
		record.Deadline = r.varint()
	case Done:
		record.Status = r.uint32()
		record.Answer = r.bytes()
	case Released:
	default:
		r.bad = true
	}
	return record
}

// take takes a number of bytes.
func (r *reader) take(count int) []byte {
	if r.bad || count > len(r.data) {
		r.bad = true
		return nil
	}
	value := r.data[:count:count]
	r.data = r.data[count:]
	return value
}

// bytes takes a length and that many bytes.
func (r *reader) bytes() []byte {
	length := r.uvarint()
	if length > uint64(len(r.data)) {
		r.bad = true
		return nil
	}
	return r.take(int(length))
}

// uint32 takes an unsigned number of at most 32 bits.
func (r *reader) uint32() uint32 {
	value := r.uvarint()
	if value > math.MaxUint32 {
		r.bad = true
	}
	return uint32(value)
}

// uvarint takes an unsigned number.
func (r *reader) uvarint() uint64 {
	value, size := binary.Uvarint(r.data)
	if size <= 0 {
		r.bad = true
		return 0
	}
	r.data = r.data[size:]
	return value
}

// varint takes a signed number.
func (r *reader) varint() int64 {
	value, size := binary.Varint(r.data)
	if size <= 0 {
		r.bad = true
		return 0
	}
	r.data = r.data[size:]
	return value
}
