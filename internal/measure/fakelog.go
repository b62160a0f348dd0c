package measure

import (
	"errors"
	"time"

	"github.com/chicorydale/chicorydale/internal/external"
)

// logLatency is the one-way latency to the log service.
const logLatency = 3 * time.Millisecond

// errLogDown is the cause of an append that fails because the log cannot be reached.
var errLogDown = errors.New("the log is down")

// fakeLog is the log service. It runs in the first availability zone.
type fakeLog struct {
	sim     *simulation
	streams map[string][]external.Record
}

// isReachable reports whether a router can use the log now.
func (l *fakeLog) isReachable(router int) bool {
	return !l.sim.isLogDown && l.sim.zonesConnected(l.sim.deployment.zoneOf(router), 0)
}

// appendNow adds a record without latency.
func (l *fakeLog) appendNow(stream string, data []byte) {
	records := l.streams[stream]
	l.streams[stream] = append(records, external.Record{Offset: uint64(len(records)), AppendedAt: l.sim.currentTime(), Data: data})
}

// append adds a record after the latency to the log and calls done after the latency back. If the log cannot be reached
// on the way back, done receives an UnsettledError although the record may have been stored.
func (l *fakeLog) append(router int, stream string, data []byte, done func(err error)) {
	l.sim.schedule(logLatency, func() {
		if l.isReachable(router) {
			l.appendNow(stream, data)
		}
		l.sim.schedule(logLatency, func() {
			if l.isReachable(router) {
				done(nil)
				return
			}
			done(&external.UnsettledError{Stream: stream, Cause: errLogDown})
		})
	})
}

// readFrom returns the records of a stream from an offset on.
func (l *fakeLog) readFrom(stream string, offset uint64) external.Page {
	records := l.streams[stream]
	page := external.Page{EndOffset: uint64(len(records))}
	if offset < page.EndOffset {
		page.Records = records[offset:]
	}
	return page
}
