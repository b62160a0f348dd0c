package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// FormatVersion is the format version of the records that this package writes, and the highest that it reads.
const FormatVersion = 1

// Record is one record of the log stream, or the content of a peer's offer. Exactly one field is set.
type Record struct {
	// Change is a published change.
	Change *Change `json:"change,omitempty"`
	// Snapshot is a snapshot of the whole state.
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	// Changes are accepted changes in order. They occur only in messages between routers, not in the log.
	Changes []Change `json:"changes,omitempty"`
}

// versionedRecord is the JSON form of a record with its format version.
type versionedRecord struct {
	Format int `json:"v"`
	Record
}

// UnsupportedFormatError is returned for a record with a higher format version than FormatVersion.
type UnsupportedFormatError struct {
	// Format is the format version of the record.
	Format int
}

// Error returns a message with both versions.
func (e *UnsupportedFormatError) Error() string {
	return fmt.Sprintf("record has format version %d, the highest known is %d", e.Format, FormatVersion)
}

// Encode returns the JSON form of a record, with FormatVersion.
func (r Record) Encode() []byte {
	data, err := json.Marshal(versionedRecord{Format: FormatVersion, Record: r})
	if err != nil {
		return nil // Strings, numbers and booleans always have a JSON form.
	}
	return data
}

// DecodeRecord decodes the JSON form of a record. The error is an *UnsupportedFormatError if the format version is too
// high, and an *InvalidError if the record has unknown fields, values of the wrong type or trailing data.
func DecodeRecord(data []byte) (Record, error) {
	var header struct {
		V int `json:"v"`
	}
	if err := json.Unmarshal(data, &header); err != nil {
		return Record{}, fmt.Errorf("record is malformed: %w", err)
	}
	if header.V > FormatVersion {
		return Record{}, &UnsupportedFormatError{Format: header.V}
	}
	var decoded versionedRecord
	if err := decodeStrict(data, &decoded); err != nil {
		return Record{}, err
	}
	if decoded.Format != FormatVersion || !decoded.hasOneKind() {
		return Record{}, errors.New("record has no format version or not exactly one kind")
	}
	return decoded.Record, nil
}

// hasOneKind reports whether exactly one field is set.
func (r Record) hasOneKind() bool {
	kinds := 0
	for _, isSet := range []bool{r.Change != nil, r.Snapshot != nil, len(r.Changes) > 0} {
		if isSet {
			kinds++
		}
	}
	return kinds == 1
}

// DecodeChange decodes the JSON form of a change. The error is an *InvalidError that lists all unknown fields.
func DecodeChange(data []byte) (Change, error) {
	var change Change
	err := decodeStrict(data, &change)
	return change, err
}

// decodeStrict decodes a single JSON value and rejects unknown fields and trailing data. The error is an *InvalidError.
func decodeStrict(data []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	if err == nil {
		if _, err = decoder.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		err = errors.New("data after the value")
	}
	return describeDecodeError(data, value, err)
}
