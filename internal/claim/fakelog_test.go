package claim_test

import (
	"errors"
	"time"

	"github.com/chicorydale/chicorydale/internal/external"
)

// appendMode is how the fake log handles appends. The values are arguments of the script command append.
type appendMode string

const (
	// modeWorks applies the append and returns the result.
	modeWorks appendMode = "works"
	// modeRefuses returns an error that says that the append had no effect.
	modeRefuses appendMode = "refuses"
	// modeLosesResult applies the append and loses its result.
	modeLosesResult appendMode = "loses"
	// modeAppliesLate loses the result and applies the append 1200 ms later.
	modeAppliesLate appendMode = "delays"
	// modeLosesBoth loses the append and its result.
	modeLosesBoth appendMode = "drops"
	// modeSlow applies the append after 800 ms and then returns the result.
	modeSlow appendMode = "slow"
)

var errResultLost = errors.New("result of the append lost")

// fakeLog is an in-memory log service. An append never takes effect twice.
type fakeLog struct {
	streams map[string][]external.Record
	// firstOffsets maps each stream to the offset of its oldest retained record.
	firstOffsets map[string]uint64
	mode         appendMode
	// readsFail is set while all reads fail.
	readsFail bool
}

// append appends a record according to the mode. It returns the time until the caller gets the result, and the result.
func (l *fakeLog) append(sim *simulation, stream string, data []byte) (after time.Duration, result error) {
	apply := func() {
		records := l.streams[stream]
		offset := l.firstOffsets[stream] + uint64(len(records))
		l.streams[stream] = append(records, external.Record{Offset: offset, AppendedAt: sim.now, Data: data})
	}
	unsettled := &external.UnsettledError{Stream: stream, Cause: errResultLost}
	switch l.mode {
	case modeRefuses:
		return networkLatency, &external.UnavailableError{System: "log", Cause: errResultLost}
	case modeLosesResult:
		apply()
	case modeAppliesLate:
		sim.schedule(1200*time.Millisecond, apply)
	case modeSlow:
		sim.schedule(800*time.Millisecond, apply)
		return 800*time.Millisecond + networkLatency, nil
	case modeWorks:
		apply()
		return networkLatency, nil
	case modeLosesBoth:
	}
	return networkLatency, unsettled
}

// read returns all retained records from an offset on.
func (l *fakeLog) read(stream string, from uint64) external.Page {
	records, first := l.streams[stream], l.firstOffsets[stream]
	page := external.Page{FirstOffset: first, EndOffset: first + uint64(len(records))}
	if from = max(from, first); from < page.EndOffset {
		page.Records = records[from-first:]
	}
	return page
}

// expire removes the records that were written before a time.
func (l *fakeLog) expire(before time.Time) {
	for stream, records := range l.streams {
		for len(records) > 0 && records[0].AppendedAt.Before(before) {
			records = records[1:]
			l.firstOffsets[stream]++
		}
		l.streams[stream] = records
	}
}
