package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// FormatVersion is the version of the records that this package writes, and the highest that it reads.
const FormatVersion = 1

// Record is one record of the log stream, with exactly one field set.
type Record struct {
	// Change is a published change.
	Change *Change `json:"change,omitempty"`
	// Snapshot is a whole state.
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	// Changes are accepted changes in order; they occur only between routers, not in the log.
	Changes []Change `json:"changes,omitempty"`
}

// envelope is the JSON form of a record.
type envelope struct {
	V int `json:"v"`
	Record
}

// UnsupportedFormatError is returned for a record of a higher format version.
type UnsupportedFormatError struct {
	// Format is the record's format version.
	Format int
}

// Error names both versions.
func (e *UnsupportedFormatError) Error() string {
	return fmt.Sprintf("record has format version %d, the highest known is %d", e.Format, FormatVersion)
}

// Encode returns the JSON form of a record.
func (r Record) Encode() []byte {
	data, err := json.Marshal(envelope{V: FormatVersion, Record: r})
	if err != nil {
		return nil // Strings, numbers and booleans always have a JSON form.
	}
	return data
}

// DecodeRecord reads the JSON form of a record. The error is a *UnsupportedFormatError for a higher format version.
func DecodeRecord(data []byte) (Record, error) {
	var format struct {
		V int `json:"v"`
	}
	if err := json.Unmarshal(data, &format); err != nil {
		return Record{}, fmt.Errorf("record is malformed: %w", err)
	}
	if format.V > FormatVersion {
		return Record{}, &UnsupportedFormatError{Format: format.V}
	}
	var record envelope
	if err := decodeStrict(data, &record); err != nil {
		return Record{}, err
	}
	if record.V != FormatVersion || !record.single() {
		return Record{}, errors.New("record has no format version or not exactly one kind")
	}
	return record.Record, nil
}

// single tells whether exactly one field is set.
func (r Record) single() bool {
	set := 0
	for _, present := range []bool{r.Change != nil, r.Snapshot != nil, len(r.Changes) > 0} {
		if present {
			set++
		}
	}
	return set == 1
}

// DecodeChange reads the JSON form of a change. The error is an *InvalidError that names all unknown fields.
func DecodeChange(data []byte) (Change, error) {
	var change Change
	err := decodeStrict(data, &change)
	return change, err
}

// decodeStrict reads one JSON value and refuses unknown fields and trailing data.
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
	return decodeFaults(data, value, err)
}
