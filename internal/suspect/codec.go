package suspect

import (
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/frame"
)

// Stream is the log stream of crash records.
const Stream = "suspects"

const (
	magic   = 's'
	version = 1
	// maxName bounds the names of targets and crashes.
	maxName = 256
	// maxBatch bounds the records of one message or append.
	maxBatch = 1000
)

// encode joins records into one log record.
func encode(records []*fleetpb.CrashRecord) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(
		frame.New(64*len(records)), &fleetpb.CrashRecords{Records: records})
	if err != nil {
		return nil, err
	}
	return frame.WriteHeader(data, magic, version), nil
}

// decode returns the records of a log record, and false if it is garbage or of an unknown version.
func decode(data []byte) ([]*fleetpb.CrashRecord, bool) {
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

// valid tells whether the fields of a record are in range.
func valid(record *fleetpb.CrashRecord) bool {
	return record.GetCrash() != "" && len(record.GetCrash()) <= maxName && len(record.GetTarget()) <= maxName &&
		utf8.ValidString(record.GetCrash()) && utf8.ValidString(record.GetTarget())
}
