package dispatch_test

import (
	"testing"
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
)

// BenchmarkRequest measures all decisions for one request with 64 stream events and 18 targets.
func BenchmarkRequest(b *testing.B) { benchmarkRequest(b, 18) }

// BenchmarkRequestLarge measures the same with 5,100 targets, the fleet's expected size in two years.
func BenchmarkRequestLarge(b *testing.B) { benchmarkRequest(b, 5100) }

// benchmarkRequest measures all decisions for one request with 64 stream events.
func benchmarkRequest(b *testing.B, targets int) {
	b.Helper()
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(targets, 32))
	now := startTime
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Millisecond)
		id := d.Submit(now, newRequest(now, "c", uint64(i%500)))
		d.TakeDecisions()
		d.RecordFirstByte(now, id, nil)
		for range 63 {
			d.RecordData(now, id)
		}
		d.Finish(now, id, dispatch.Done)
	}
}

// BenchmarkStreamData measures the cost of recording one event of a stream.
func BenchmarkStreamData(b *testing.B) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(18, 32))
	id := d.Submit(startTime, newRequest(startTime, "c", 9))
	d.RecordFirstByte(startTime, id, nil)
	for b.Loop() {
		d.RecordData(startTime, id)
	}
}
