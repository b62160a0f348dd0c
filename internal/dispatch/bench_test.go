package dispatch_test

import (
	"testing"
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
)

// BenchmarkRequest measures the decisions of one request with 64 events before 18 engines.
func BenchmarkRequest(b *testing.B) { benchmarkRequest(b, 18) }

// BenchmarkRequestLarge measures the same before as many engines as the fleet has in two years.
func BenchmarkRequestLarge(b *testing.B) { benchmarkRequest(b, 5100) }

// benchmarkRequest measures the decisions of one request with 64 events.
func benchmarkRequest(b *testing.B, targets int) {
	b.Helper()
	d := dispatch.New(here, 1)
	d.SetTargets(start, engines(targets, 32))
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Millisecond)
		id := d.Submit(now, request(now, "c", uint64(i%500)))
		d.TakeDecisions()
		d.RecordFirstByte(now, id, nil)
		for range 63 {
			d.RecordData(now, id)
		}
		d.Finish(now, id, dispatch.Done)
	}
}

// BenchmarkEvent measures what the decisions cost for one event of a stream.
func BenchmarkEvent(b *testing.B) {
	d := dispatch.New(here, 1)
	d.SetTargets(start, engines(18, 32))
	id := d.Submit(start, request(start, "c", 9))
	d.RecordFirstByte(start, id, nil)
	for b.Loop() {
		d.RecordData(start, id)
	}
}
