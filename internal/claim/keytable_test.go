package claim_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// keyAt returns a key with the given creation time and number.
func keyAt(at time.Time, number int) uuid.UUID {
	sim := simulation{now: at}
	key := uuid.MustParse(sim.key(0, 0))
	key[12], key[13], key[14], key[15] = byte(number>>24), byte(number>>16), byte(number>>8), byte(number)
	return key
}

// claimRecord returns a claim record like that of a router. Keys and claim ids differ by number.
func claimRecord(at time.Time, number int) claim.Record {
	return claim.Record{
		Kind: claim.KindClaim, Key: keyAt(at, number), ClaimID: fmt.Sprintf("router-%03d/k2jx8q1a/%x", number%1000, number),
		Customer: uint32(number % 5800), BodyHash: make([]byte, 16), DeadlineUnixMilli: at.Add(time.Second).UnixMilli(),
	}
}

// logRecord returns a log record that contains a batch of records.
func logRecord(at time.Time, offset uint64, records ...claim.Record) external.Record {
	return external.Record{Offset: offset, AppendedAt: at, Data: claim.EncodeBatch(records)}
}

// TestKeyTableVoidClaims guards against two ways in which a void claim could hold the key: a copy of the record of a released
// claim that is appended after the release, and a copy of a claim that was refused because another one held the key.
func TestKeyTableVoidClaims(t *testing.T) {
	c := qt.New(t)
	table := claim.NewKeyTable(testLimits())
	first, loser := claimRecord(startTime, 1), claimRecord(startTime, 1)
	loser.ClaimID = "loser"
	release := claim.Record{Kind: claim.KindRelease, Key: first.Key, ClaimID: first.ClaimID}
	for offset, record := range []claim.Record{first, loser, release, first, loser} {
		table.Apply(logRecord(startTime, uint64(offset), record))
	}
	third := first
	third.ClaimID = "third"
	_, known := table.Classify(startTime, third)
	c.Check(known, qt.IsFalse)
	table.Apply(logRecord(startTime, 5, third))
	verdict, _ := table.Classify(startTime, third)
	c.Check(verdict.GetOffset(), qt.Equals, uint64(5))
}

// TestKeyTableLateClaimAndRelease guards against a claim that takes effect in the log after its deadline and blocks the key,
// and against a release that removes a stored answer, so that the key could run again.
func TestKeyTableLateClaimAndRelease(t *testing.T) {
	c := qt.New(t)
	table := claim.NewKeyTable(testLimits())
	late, winner := claimRecord(startTime, 1), claimRecord(startTime, 1)
	winner.ClaimID, winner.DeadlineUnixMilli = "winner", startTime.Add(time.Minute).UnixMilli()
	done := claim.Record{Kind: claim.KindDone, Key: late.Key, ClaimID: winner.ClaimID, Answer: []byte("a")}
	release := claim.Record{Kind: claim.KindRelease, Key: late.Key, ClaimID: winner.ClaimID}
	table.Apply(logRecord(startTime.Add(2*time.Second), 0, late, winner, done, release))
	verdict, _ := table.Classify(startTime, late)
	c.Check(verdict.GetState().String(), qt.Equals, "CLAIM_STATE_DONE")
}

// TestBatcherLoadAndLimits guards against a batcher that appends or answers before it has read its stream to the end, that
// appends more often than once per MinAppendInterval, or that accepts claims without a memory limit.
func TestBatcherLoadAndLimits(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(variant{limits: testLimits()}, "r0")
	n, key := sim.nodes[0], claimRecord(startTime, 1).Key
	sim.startCall(n, key.String(), "a", time.Second)
	envelopes, _ := n.claimer.Tick(sim.now)
	n.batcher.Receive(sim.now, n.name, envelopes[0].Body)
	record := logRecord(sim.now, 0, claim.Record{Kind: claim.KindRelease, Key: key, ClaimID: "other"})
	stream := claim.StreamName(claim.KeyShard(key))
	n.batcher.Page(sim.now, stream, external.Page{Records: []external.Record{record}, EndOffset: 2})
	n.batcher.Page(sim.now, stream, external.Page{FirstOffset: 3, Records: []external.Record{{Offset: 7}}, EndOffset: 8})
	effects := n.batcher.Tick(sim.now)
	c.Check(len(effects.Appends)+len(effects.Envelopes), qt.Equals, 0)
	c.Check(n.batcher.Positions()[claim.KeyShard(key)].Offset, qt.Equals, uint64(1))

	sim = newSimulation(variant{limits: testLimits()}, "r0")
	for i := range 4000 {
		sim.startCall(sim.nodes[0], keyAt(sim.now, i).String(), "a", time.Minute)
		sim.advance(tickInterval * time.Duration(i%4/3))
	}
	for _, records := range sim.log.streams {
		c.Check(len(records) <= 5*50, qt.IsTrue, qt.Commentf("%d appends to a stream in 5 s", len(records)))
	}
	c.Check(sim.outcomes()[:len("held,held")], qt.Equals, "held,held")

	full := testLimits()
	full.MaxMemoryBytes = 100
	sim = newSimulation(variant{limits: full}, "r0")
	for i := range 2 {
		sim.startCall(sim.nodes[0], keyAt(sim.now, i).String(), "a", time.Minute)
		sim.advance(time.Second)
	}
	c.Check(sim.outcomes(), qt.Equals, "held,unavailable")
}

// TestClaimerRelease guards against claims that are not released and so block their key. The first may have been appended by
// an earlier batcher when a later one refuses it. The second is abandoned after its request was sent, and then the target
// turns out not to have run the request.
func TestClaimerRelease(t *testing.T) {
	sim := newSimulation(variant{limits: testLimits()}, "r0", "r1")
	n := sim.nodes[0]
	request := claim.Request{Key: sim.key(0, 0), Deadline: sim.now.Add(time.Second)}
	id := n.claimer.Claim(sim.now, request)
	n.claimer.Tick(sim.now)
	owner := sim.owner(request.Key).name
	n.claimer.Connected(sim.now, owner, 2)
	n.claimer.Tick(sim.now)
	verdict := &fleetpb.ClaimVerdict{Claim: id, State: fleetpb.ClaimState_CLAIM_STATE_BUSY}
	n.claimer.Receive(sim.now, owner, &fleetpb.Body{Kind: &fleetpb.Body_ClaimVerdict{ClaimVerdict: verdict}})
	envelopes, _ := n.claimer.Tick(sim.now)
	qt.Assert(t, envelopes, qt.HasLen, 1)
	qt.Check(t, envelopes[0].Body.GetClaimRequest().GetStep(), qt.Equals, fleetpb.ClaimStep_CLAIM_STEP_RELEASE)

	sim = newSimulation(variant{limits: testLimits()}, "r0")
	sim.runScript("call r0 1s, until ran, abandon")
	sim.nodes[0].claimer.MarkNotRun(sim.now, sim.calls[0].claimID)
	sim.advance(200 * time.Millisecond)
	qt.Check(t, sim.nodes[0].claimer.OpenClaimCount(), qt.Equals, 0)
}

// TestKeyTableExpiry guards against a table that grows without bound because old keys are not evicted, and against a key that
// can be claimed again after its entry was evicted.
func TestKeyTableExpiry(t *testing.T) {
	c := qt.New(t)
	table := claim.NewKeyTable(testLimits())
	for i := range 10_000 {
		at := startTime.Add(time.Duration(i) * time.Second)
		table.Apply(logRecord(at, uint64(i), claimRecord(at, i)))
		c.Assert(table.KeyCount() <= 10+60+1, qt.IsTrue)
	}
	again := claimRecord(startTime, 0)
	again.ClaimID, again.DeadlineUnixMilli = "again", startTime.Add(time.Hour*24).UnixMilli()
	table.Apply(logRecord(startTime, 10_000, again))
	verdict, known := table.Classify(startTime, again)
	c.Check(known, qt.IsTrue)
	c.Check(verdict.GetState().String(), qt.Equals, "CLAIM_STATE_UNKNOWN")
}

// FuzzDecode guards against a decoder that panics on malformed data, against records that encoding and decoding change, and
// against damaged data or unknown kinds that are not counted as dropped.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(nil), "a", []byte("x"), int64(1))
	f.Add(claim.EncodeBatch([]claim.Record{claimRecord(startTime, 1)}), "b", []byte(nil), int64(-1))
	f.Fuzz(func(t *testing.T, data []byte, id string, content []byte, number int64) {
		c := qt.New(t)
		_, dropped := claim.DecodeBatch(data)
		table := claim.NewKeyTable(testLimits())
		table.Apply(external.Record{AppendedAt: startTime, Data: data})
		c.Check(table.DroppedCount(), qt.Equals, dropped)
		records := []claim.Record{
			{Kind: claim.KindClaim, ClaimID: id, Customer: uint32(number), BodyHash: content, DeadlineUnixMilli: number},
			{Kind: claim.KindDone, ClaimID: id, Status: uint32(number), Answer: content},
			{Kind: claim.KindRelease, ClaimID: id},
		}
		encoded := claim.EncodeBatch(records)
		decoded, dropped := claim.DecodeBatch(encoded)
		c.Check(dropped, qt.Equals, 0)
		c.Check(claim.EncodeBatch(decoded), qt.DeepEquals, encoded)
		unknown, dropped := claim.DecodeBatch(claim.EncodeBatch([]claim.Record{{Kind: 77, ClaimID: id}, records[2]}))
		c.Check(dropped, qt.Equals, 1)
		c.Check(unknown, qt.HasLen, 1)
		encoded[int(uint64(number)%uint64(len(encoded)))] ^= 1
		_, dropped = claim.DecodeBatch(encoded)
		c.Check(dropped, qt.Equals, 1)
	})
}

// BenchmarkKeyTable measures the time and memory per claim record with batches of 100 records.
func BenchmarkKeyTable(b *testing.B) {
	const batch = 100
	var before, after runtime.MemStats
	batches := make([]external.Record, 0, b.N/batch+1)
	for i := 0; i < b.N; i += batch {
		records := make([]claim.Record, batch)
		for j := range records {
			records[j] = claimRecord(startTime, i+j)
		}
		batches = append(batches, logRecord(startTime, uint64(i), records...))
	}
	table := claim.NewKeyTable(testLimits())
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for _, record := range batches {
		table.Apply(record)
	}
	b.StopTimer()
	b.ReportMetric(float64(len(batches[0].Data))/batch, "logB/claim")
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(batches)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(table.KeyCount()), "heapB/key")
}

// BenchmarkClaim measures the cost of a request through claimer, batcher and a log with a latency of 10 ms, at several numbers
// of requests per second.
func BenchmarkClaim(b *testing.B) {
	for _, rate := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			sim := newSimulation(variant{limits: claim.DefaultLimits()}, "r0")
			sim.advance(100 * time.Millisecond)
			start, due := sim.now, 0.0
			for started := 0; started < b.N; {
				for due += float64(rate) * tickInterval.Seconds(); due >= 1 && started < b.N; due-- {
					started++
					sim.startCall(sim.nodes[0], keyAt(sim.now, started).String(), "a", time.Second)
				}
				sim.advance(tickInterval)
			}
			appends, size := 0, 0
			for _, records := range sim.log.streams {
				appends += len(records)
				for _, record := range records {
					size += len(record.Data)
				}
			}
			b.ReportMetric(float64(appends)/sim.now.Sub(start).Seconds(), "appends/s")
			b.ReportMetric(float64(size)/float64(b.N), "logB/op")
			b.ReportMetric(float64(sim.messageBytes)/float64(b.N), "linkB/op")
		})
	}
}
