package claim

import (
	"encoding/binary"
	"math"
)

// decoder reads fields from the front of data. Once a field is missing or out of range, invalid is set and the fields that
// follow are meaningless.
type decoder struct {
	data    []byte
	invalid bool
}

// readRecord reads one record.
func (d *decoder) readRecord() Record {
	record := Record{}
	if kind := d.readN(1); kind != nil {
		record.Kind = RecordKind(kind[0])
	}
	copy(record.Key[:], d.readN(len(record.Key)))
	record.ClaimID = string(d.readBytes())
	switch record.Kind {
	case KindClaim:
		record.Customer = d.readUint32()
		record.BodyHash = d.readBytes()
		record.DeadlineUnixMilli = d.readVarint()
	case KindDone:
		record.Status = d.readUint32()
		record.Answer = d.readBytes()
	case KindRelease:
	default:
		d.invalid = true
	}
	return record
}

// readN reads count bytes, which share memory with data. It returns nil if there are not as many.
func (d *decoder) readN(count int) []byte {
	if d.invalid || count > len(d.data) {
		d.invalid = true
		return nil
	}
	value := d.data[:count:count]
	d.data = d.data[count:]
	return value
}

// readBytes reads a length and that many bytes.
func (d *decoder) readBytes() []byte {
	length := d.readUvarint()
	if length > uint64(len(d.data)) {
		d.invalid = true
		return nil
	}
	return d.readN(int(length))
}

// readUint32 reads a uvarint of at most 32 bits.
func (d *decoder) readUint32() uint32 {
	value := d.readUvarint()
	if value > math.MaxUint32 {
		d.invalid = true
	}
	return uint32(value)
}

// readUvarint reads an unsigned varint.
func (d *decoder) readUvarint() uint64 {
	value, length := binary.Uvarint(d.data)
	if length <= 0 {
		d.invalid = true
		return 0
	}
	d.data = d.data[length:]
	return value
}

// readVarint reads a signed varint.
func (d *decoder) readVarint() int64 {
	value, length := binary.Varint(d.data)
	if length <= 0 {
		d.invalid = true
		return 0
	}
	d.data = d.data[length:]
	return value
}
