package suspect

import (
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/frame"
)

// Stream is the name of the log stream of crash records.
const Stream = "suspects"

// The data of a log record is a frame that contains a fleetpb.CrashRecords message.
const (
	magic   = 's'
	version = 1
	// maxNameBytes is the maximum length of a target's name and of a crash id.
	maxNameBytes = 256
	// maxBatchRecords is the maximum number of crash records in one message or one append.
	maxBatchRecords = 1000
)

// encodeRecords encodes crash records as the data of one log record.
func encodeRecords(records []*fleetpb.CrashRecord) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(
		frame.New(64*len(records)), &fleetpb.CrashRecords{Records: records})
	if err != nil {
		return nil, err
	}
	return frame.WriteHeader(data, magic, version), nil
}

// decodeRecords returns the crash records in the data of a log record. It returns false if the data is malformed or of an
// unknown version.
func decodeRecords(data []byte) ([]*fleetpb.CrashRecord, bool) {
	content, ok := frame.Parse(data, magic, version)
	if !ok {
		return nil, false
	}
	var records fleetpb.CrashRecords
	if err := proto.Unmarshal(content, &records); err != nil {
		return nil, false
	}
	return records.GetRecords(), true
}

// isValid reports whether a crash record has a crash id, and whether its strings are valid UTF-8 and not too long.
func isValid(record *fleetpb.CrashRecord) bool {
	return record.GetCrash() != "" && len(record.GetCrash()) <= maxNameBytes && len(record.GetTarget()) <= maxNameBytes &&
		utf8.ValidString(record.GetCrash()) && utf8.ValidString(record.GetTarget())
}
