package measure

import (
	"errors"
	"time"

	"github.com/chicorydale/chicorydale/internal/outside"
)

// logLatency is the one-way latency to the log service.
const logLatency = 3 * time.Millisecond

// errOutage is the cause of failures while the log is down.
var errOutage = errors.New("the log is down")

// fakeLog is the log service. It is in the first availability zone.
type fakeLog struct {
	world   *world
	streams map[string][]outside.Record
}

// reachable reports whether a router can use the log now.
func (l *fakeLog) reachable(router int) bool {
	return !l.world.logDown && l.world.connected(l.world.deployment.zoneOf(router), 0)
}

// put adds a record at once.
func (l *fakeLog) put(stream string, data []byte) {
	records := l.streams[stream]
	l.streams[stream] = append(records, outside.Record{Offset: uint64(len(records)), AppendedAt: l.world.time(), Data: data})
}

// append adds a record after the latency, and tells the result after it has passed again. An append whose answer is
// lost because the outage began in between has taken effect.
func (l *fakeLog) append(router int, stream string, data []byte, done func(err error)) {
	l.world.after(logLatency, func() {
		if l.reachable(router) {
			l.put(stream, data)
		}
		l.world.after(logLatency, func() {
			if l.reachable(router) {
				done(nil)
				return
			}
			done(&outside.UnsettledError{Stream: stream, Cause: errOutage})
		})
	})
}

// page returns the records of a stream from an offset on.
func (l *fakeLog) page(stream string, from uint64) outside.Page {
	records := l.streams[stream]
	page := outside.Page{EndOffset: uint64(len(records))}
	if from < page.EndOffset {
		page.Records = records[from:]
	}
	return page
}
