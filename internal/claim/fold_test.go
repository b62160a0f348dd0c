package claim_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/outside"
)

// keyAt returns the key with a number that was made at an instant.
func keyAt(at time.Time, number int) uuid.UUID {
	w := world{now: at}
	key := uuid.MustParse(w.key(0, 0))
	key[12], key[13], key[14], key[15] = byte(number>>24), byte(number>>16), byte(number>>8), byte(number)
	return key
}

// claimed returns a claim as a router makes it.
func claimed(at time.Time, number int) claim.Record {
	return claim.Record{
		Kind: claim.Claimed, Key: keyAt(at, number), Claim: fmt.Sprintf("router-%03d/k2jx8q1a/%x", number%1000, number),
		Customer: uint32(number % 5800), BodyHash: make([]byte, 16), Deadline: at.Add(time.Second).UnixMilli(),
	}
}

func logged(at time.Time, offset uint64, records ...claim.Record) outside.Record {
	return outside.Record{Offset: offset, At: at, Data: claim.EncodeBatch(records)}
}

// TestFoldRelease guards against a copy of a released claim that takes the key after all, and against a claim that takes
// the key after its asker was refused.
func TestFoldRelease(t *testing.T) {
	c := qt.New(t)
	fold := claim.NewFold(limits())
	first, loser := claimed(start, 1), claimed(start, 1)
	loser.Claim = "loser"
	release := claim.Record{Kind: claim.Released, Key: first.Key, Claim: first.Claim}
	for offset, record := range []claim.Record{first, loser, release, first, loser} {
		fold.Apply(logged(start, uint64(offset), record))
	}
	third := first
	third.Claim = "third"
	_, known := fold.State(start, third)
	c.Check(known, qt.IsFalse)
	fold.Apply(logged(start, 5, third))
	verdict, _ := fold.State(start, third)
	c.Check(verdict.GetOffset(), qt.Equals, uint64(5))
}

// TestFoldOrder guards against a copy that lands after its deadline and blocks the key, and against a release that frees
// an answered key.
func TestFoldOrder(t *testing.T) {
	c := qt.New(t)
	fold := claim.NewFold(limits())
	late, winner := claimed(start, 1), claimed(start, 1)
	winner.Claim, winner.Deadline = "winner", start.Add(time.Minute).UnixMilli()
	done := claim.Record{Kind: claim.Done, Key: late.Key, Claim: winner.Claim, Answer: []byte("a")}
	release := claim.Record{Kind: claim.Released, Key: late.Key, Claim: winner.Claim}
	fold.Apply(logged(start.Add(2*time.Second), 0, late, winner, done, release))
	verdict, _ := fold.State(start, late)
	c.Check(verdict.GetState().String(), qt.Equals, "CLAIM_STATE_DONE")
}

// TestBatcher guards against a batcher that appends or answers before it has read its stream to the end, that appends
// more often than the log bears, or that takes claims without bound.
func TestBatcher(t *testing.T) {
	c := qt.New(t)
	w := newWorld(variant{limits: limits()}, "r0")
	n, key := w.nodes[0], claimed(start, 1).Key
	w.call(n, key.String(), "a", time.Second)
	envelopes, _ := n.holder.Tick(w.now)
	n.batcher.Receive(w.now, n.name, envelopes[0].Body)
	record := logged(w.now, 0, claim.Record{Kind: claim.Released, Key: key, Claim: "other"})
	stream := claim.StreamName(claim.Shard(key))
	n.batcher.Page(w.now, stream, outside.Page{Records: []outside.Record{record}, End: 2})
	n.batcher.Page(w.now, stream, outside.Page{First: 3, Records: []outside.Record{{Offset: 7}}, End: 8})
	effects := n.batcher.Tick(w.now)
	c.Check(len(effects.Appends)+len(effects.Envelopes), qt.Equals, 0)
	c.Check(n.batcher.Positions()[claim.Shard(key)].From, qt.Equals, uint64(1))

	w = newWorld(variant{limits: limits()}, "r0")
	for i := range 4000 {
		w.call(w.nodes[0], keyAt(w.now, i).String(), "a", time.Minute)
		w.pass(step * time.Duration(i%4/3))
	}
	for _, records := range w.log.streams {
		c.Check(len(records) <= 5*50, qt.IsTrue, qt.Commentf("%d appends to a stream in 5 s", len(records)))
	}
	c.Check(w.outcomes()[:len("held,held")], qt.Equals, "held,held")

	full := limits()
	full.Memory = 100
	w = newWorld(variant{limits: full}, "r0")
	for i := range 2 {
		w.call(w.nodes[0], keyAt(w.now, i).String(), "a", time.Minute)
		w.pass(time.Second)
	}
	c.Check(w.outcomes(), qt.Equals, "held,unavailable")
}

// TestHolderRelease guards against a key that stays blocked: by the copy of a claim that an earlier batcher appended, or by
// a request that its caller gave up before the target refused it.
func TestHolderRelease(t *testing.T) {
	w := newWorld(variant{limits: limits()}, "r0", "r1")
	n := w.nodes[0]
	request := claim.Request{Key: w.key(0, 0), Deadline: w.now.Add(time.Second)}
	id := n.holder.Claim(w.now, request)
	n.holder.Tick(w.now)
	owner := w.owner(request.Key).name
	n.holder.Connected(w.now, owner, 2)
	n.holder.Tick(w.now)
	verdict := &fleetpb.ClaimVerdict{Claim: id, State: fleetpb.ClaimState_CLAIM_STATE_BUSY}
	n.holder.Receive(w.now, owner, &fleetpb.Body{Kind: &fleetpb.Body_ClaimVerdict{ClaimVerdict: verdict}})
	envelopes, _ := n.holder.Tick(w.now)
	qt.Assert(t, envelopes, qt.HasLen, 1)
	qt.Check(t, envelopes[0].Body.GetClaimRequest().GetStep(), qt.Equals, fleetpb.ClaimStep_CLAIM_STEP_RELEASE)

	w = newWorld(variant{limits: limits()}, "r0")
	w.play("call r0 1s, until ran, abandon")
	w.nodes[0].holder.MarkNotRun(w.now, w.calls[0].claim)
	w.pass(200 * time.Millisecond)
	qt.Check(t, w.nodes[0].holder.OpenClaimCount(), qt.Equals, 0)
}

// TestFoldExpiry guards against a table that grows without bound, and against a key that is free again once its entry
// is gone.
func TestFoldExpiry(t *testing.T) {
	c := qt.New(t)
	fold := claim.NewFold(limits())
	for i := range 10_000 {
		at := start.Add(time.Duration(i) * time.Second)
		fold.Apply(logged(at, uint64(i), claimed(at, i)))
		c.Assert(fold.Keys() <= 10+60+1, qt.IsTrue)
	}
	again := claimed(start, 0)
	again.Claim, again.Deadline = "again", start.Add(time.Hour*24).UnixMilli()
	fold.Apply(logged(start, 10_000, again))
	verdict, known := fold.State(start, again)
	c.Check(known, qt.IsTrue)
	c.Check(verdict.GetState().String(), qt.Equals, "CLAIM_STATE_UNKNOWN")
}

// FuzzDecode guards against a decoder that panics on garbage, and against records that change on the way.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(nil), "a", []byte("x"), int64(1))
	f.Add(claim.EncodeBatch([]claim.Record{claimed(start, 1)}), "b", []byte(nil), int64(-1))
	f.Fuzz(func(t *testing.T, data []byte, id string, content []byte, number int64) {
		c := qt.New(t)
		_, dropped := claim.Decode(data)
		fold := claim.NewFold(limits())
		fold.Apply(outside.Record{At: start, Data: data})
		c.Check(fold.Dropped(), qt.Equals, dropped)
		records := []claim.Record{
			{Kind: claim.Claimed, Claim: id, Customer: uint32(number), BodyHash: content, Deadline: number},
			{Kind: claim.Done, Claim: id, Status: uint32(number), Answer: content},
			{Kind: claim.Released, Claim: id},
		}
		encoded := claim.EncodeBatch(records)
		decoded, dropped := claim.Decode(encoded)
		c.Check(dropped, qt.Equals, 0)
		c.Check(claim.EncodeBatch(decoded), qt.DeepEquals, encoded)
		unknown, dropped := claim.Decode(claim.EncodeBatch([]claim.Record{{Kind: 77, Claim: id}, records[2]}))
		c.Check(dropped, qt.Equals, 1)
		c.Check(unknown, qt.HasLen, 1)
		encoded[int(uint64(number)%uint64(len(encoded)))] ^= 1
		_, dropped = claim.Decode(encoded)
		c.Check(dropped, qt.Equals, 1)
	})
}

// BenchmarkFold measures time and memory per claim record with 100 records in a batch.
func BenchmarkFold(b *testing.B) {
	const batch = 100
	var before, after runtime.MemStats
	batches := make([]outside.Record, 0, b.N/batch+1)
	for i := 0; i < b.N; i += batch {
		records := make([]claim.Record, batch)
		for j := range records {
			records[j] = claimed(start, i+j)
		}
		batches = append(batches, logged(start, uint64(i), records...))
	}
	fold := claim.NewFold(limits())
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for _, record := range batches {
		fold.Apply(record)
	}
	b.StopTimer()
	b.ReportMetric(float64(len(batches[0].Data))/batch, "logB/claim")
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(batches)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(fold.Keys()), "heapB/key")
}

// BenchmarkClaim measures one claim through holder, batcher and a log that answers in 10 ms, at several rates a second.
func BenchmarkClaim(b *testing.B) {
	for _, rate := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			w := newWorld(variant{limits: claim.DefaultLimits()}, "r0")
			w.pass(100 * time.Millisecond)
			begin, owed := w.now, 0.0
			for made := 0; made < b.N; {
				for owed += float64(rate) * step.Seconds(); owed >= 1 && made < b.N; owed-- {
					made++
					w.call(w.nodes[0], keyAt(w.now, made).String(), "a", time.Second)
				}
				w.pass(step)
			}
			appends, size := 0, 0
			for _, records := range w.log.streams {
				appends += len(records)
				for _, record := range records {
					size += len(record.Data)
				}
			}
			b.ReportMetric(float64(appends)/w.now.Sub(begin).Seconds(), "appends/s")
			b.ReportMetric(float64(size)/float64(b.N), "logB/op")
			b.ReportMetric(float64(w.bytes)/float64(b.N), "linkB/op")
		})
	}
}
