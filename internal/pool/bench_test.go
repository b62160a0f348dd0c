package pool_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// BenchmarkRequest measures the announcement, grant and end of one request at the scheduler, and the bytes of its messages if ten
// requests share a tick.
func BenchmarkRequest(b *testing.B) {
	s := newTestScheduler(5, 0)
	const requestsPerTick = 10
	next, bytes := uint64(1), 0
	b.ReportAllocs()
	for b.Loop() {
		announce := &fleetpb.Announce{Pool: poolName}
		for range requestsPerTick {
			announce.Demands = append(announce.Demands, &fleetpb.Demand{
				Request: next, Customer: uint32(next % 600), Estimate: 250000, Long: true,
				Due: s.now.UnixMilli(), Expiry: s.now.UnixMilli(), Prefix: next * 2654435761 % (1 << 28),
			})
			next++
		}
		s.Receive(s.now, "e", &fleetpb.Body{Kind: &fleetpb.Body_Announce{Announce: announce}})
		bytes += proto.Size(announce)
		s.now = s.now.Add(10 * time.Millisecond)
		finish := &fleetpb.Finish{Pool: poolName}
		for _, envelope := range s.Tick(s.now) {
			bytes += proto.Size(envelope.Body)
			for _, grant := range envelope.Body.GetGrants().GetGrants() {
				ended := &fleetpb.Ended{Grant: grant.GetNumber(), Units: 180000, Outcome: fleetpb.Outcome_OUTCOME_DONE}
				finish.Runs = append(finish.Runs, ended)
			}
		}
		bytes += proto.Size(finish)
		s.Receive(s.now, "e", &fleetpb.Body{Kind: &fleetpb.Body_Finish{Finish: finish}})
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(next), "ns/request")
	b.ReportMetric(float64(bytes)/float64(next), "B/request")
}

// newBacklogged returns a scheduler whose slots are all in use, with one waiting request for each of a number of customers. A
// slot becomes free when the run of the grant runningGrant is finished.
func newBacklogged(targets, customers int) *testScheduler {
	s := newTestScheduler(targets, 0)
	for i := range uint64(targets * slots) {
		s.announce(1+i, 1, nil)
	}
	grants, _ := s.tick(0)
	progress := &fleetpb.Progress{Pool: poolName}
	for _, grant := range grants {
		progress.Runs = append(progress.Runs, &fleetpb.Served{Grant: grant.GetNumber()})
	}
	s.Receive(s.now, "e", &fleetpb.Body{Kind: &fleetpb.Body_Progress{Progress: progress}})
	for i := range uint64(customers) {
		s.announce(10000+i, 1, func(d *fleetpb.Demand) { d.Customer = uint32(i + 2) })
	}
	s.runningGrant = grants[0].GetNumber()
	return s
}

// BenchmarkTick measures a tick for several numbers of waiting customers and targets, with and without a grant.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ targets, customers int }{{5, 1}, {5, 100}, {5, 1000}, {5, 5000}, {20, 1000}, {80, 1000}} {
		for _, free := range []bool{false, true} {
			b.Run(fmt.Sprintf("targets=%d/customers=%d/grant=%t", size.targets, size.customers, free), func(b *testing.B) {
				s := newBacklogged(size.targets, size.customers)
				next, running := uint64(1000000), s.runningGrant
				b.ReportAllocs()
				for b.Loop() {
					if free {
						s.finish(&fleetpb.Ended{Grant: running, Outcome: fleetpb.Outcome_OUTCOME_DONE})
						s.announce(next, 1, func(d *fleetpb.Demand) { d.Customer = uint32(next%uint64(size.customers)) + 2 })
						next++
					}
					for _, envelope := range s.Tick(s.now) {
						for _, grant := range envelope.Body.GetGrants().GetGrants() {
							running = grant.GetNumber()
						}
					}
				}
			})
		}
	}
}

// BenchmarkExchange measures the reports of waiting customers to the owners of their shards, and the answers.
func BenchmarkExchange(b *testing.B) {
	for _, customers := range []int{100, 1000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			s := newBacklogged(5, customers)
			bytes, rounds := 0, 0
			for b.Loop() {
				s.now = s.now.Add(time.Second)
				for _, envelope := range s.Tick(s.now) {
					bytes += proto.Size(envelope.Body)
					s.Receive(s.now, "me", envelope.Body)
				}
				rounds++
			}
			b.ReportMetric(float64(bytes)/float64(rounds*customers), "B/customer")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(rounds*customers), "ns/customer")
		})
	}
}

// BenchmarkMemory measures the heap that the scheduler uses for a waiting customer and for each further waiting request.
func BenchmarkMemory(b *testing.B) {
	const customers, requests = 5800, 50000
	heap := func() float64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc)
	}
	for b.Loop() {
		s := newTestScheduler(5, 0)
		before := heap()
		for i := range uint64(customers) {
			s.announce(10000+i, 1, func(d *fleetpb.Demand) { d.Customer = uint32(i + 2) })
		}
		middle := heap()
		for i := range uint64(requests) {
			s.announce(100000+i, 1, func(d *fleetpb.Demand) { d.Customer = uint32(i%customers) + 2 })
		}
		after := heap()
		b.ReportMetric((middle-before)/customers, "B/customer")
		b.ReportMetric((after-middle)/requests, "B/request")
		runtime.KeepAlive(s)
	}
}
