package dispatch_test

import (
	"fmt"
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

// BenchmarkRequestWithoutCapacity measures the decisions on a request that waits and is then refused, at a router with 66 peers while
// all 60 targets are full.
func BenchmarkRequestWithoutCapacity(b *testing.B) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(60, 24))
	for i := range 66 {
		d.AddPeer(startTime, dispatch.Peer{Name: fmt.Sprint("peer-", i), Region: "s"})
	}
	now := startTime
	for d.NumWaiting() == 0 {
		now = now.Add(time.Millisecond)
		d.Submit(now, newRequest(now, fmt.Sprint("c", d.NumRunning()%5), 9))
	}
	for b.Loop() {
		now = now.Add(20 * time.Microsecond)
		id := d.Submit(now, newRequest(now, "c0", 9))
		d.Expire(now, id)
		d.TakeDecisions()
	}
}

// BenchmarkTickWithoutNews measures the work of a router with 66 peers that has nothing to tell them, 40 times a second.
func BenchmarkTickWithoutNews(b *testing.B) {
	d := dispatch.New(routerLocality, 1)
	d.SetTargets(startTime, newTargets(60, 24))
	for i := range 66 {
		d.AddPeer(startTime, dispatch.Peer{Name: fmt.Sprint("peer-", i), Region: fmt.Sprint("r", i%3), Zone: "a"})
	}
	now := startTime
	d.Tick(now)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		d.Tick(now)
	}
}
