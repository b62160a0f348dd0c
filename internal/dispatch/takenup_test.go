package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// takeUp submits a request at a random router that takes up a broken stream of a customer.
func (f *simFleet) takeUp(customer string) {
	request := newRequest(f.now, customer, uint64(2_000_000+f.numbers))
	request.Resumed, request.MayExceedShare = true, true
	f.submit(f.routers[f.random.IntN(len(f.routers))], simRequest{Request: request})
}

// TestTakenUpStreamsGoOnLikeNewOnesBegin guards against streams that the fleet has broken off and that are refused for their customer's share
// when the callers take them up, more often than new ones.
func TestTakenUpStreamsGoOnLikeNewOnesBegin(t *testing.T) {
	const length, brokenAt, streams = 8 * time.Second, 4 * time.Second, 60
	for seed := range uint64(3) {
		f := newSimFleet(seed, 4, 3, 8)
		var goneOn, takenUp, begun, submitted int
		f.decided = func(request simRequest, begins bool) {
			asked, started := &submitted, &begun
			switch {
			case request.Resumed:
				asked, started = &takenUp, &goneOn
			case f.now.Sub(startTime) < brokenAt:
				return
			}
			*asked++
			if begins {
				*started++
			}
		}
		for i := range streams {
			f.after(brokenAt+time.Duration(i)*time.Second/streams, func() { f.takeUp("large") })
		}
		f.run(length, append(
			smallLoads(f, 60, length),
			load{customer: "large", perSecond: f.capacity() * 0.8, until: length},
			load{customer: "other", perSecond: f.capacity() * 0.3, until: length},
		))
		t.Logf("seed %d: %d of %d streams went on, %d of %d new requests began", seed, goneOn, takenUp, begun, submitted)
		qt.Check(t, takenUp, qt.Equals, streams)
		qt.Check(t, goneOn*submitted >= begun*takenUp, qt.IsTrue)
	}
}

// TestTakingUpStreamsDoesNotRaiseShare guards against a customer that gets more than others because it takes up each of its streams once.
func TestTakingUpStreamsDoesNotRaiseShare(t *testing.T) {
	const length = 12 * time.Second
	for seed := range uint64(3) {
		f := newSimFleet(seed, 4, 3, 8)
		f.decided = func(request simRequest, begins bool) {
			if begins && request.Customer == "twice" && !request.Resumed {
				f.after(200*time.Millisecond, func() { f.takeUp("twice") })
			}
		}
		f.run(length, append(
			smallLoads(f, 20, length),
			load{customer: "twice", perSecond: f.capacity(), until: length},
			load{customer: "once", perSecond: f.capacity(), until: length},
		))
		checkShares(t, f)
		got := func(customer string) (tokens float64) {
			for _, started := range f.seen[customer].started {
				tokens += started
			}
			return tokens
		}
		t.Logf("seed %d: the customer that takes up its streams got %.2f of what the other one got", seed, got("twice")/got("once"))
		qt.Check(t, got("twice") <= got("once")*1.25, qt.IsTrue)
	}
}
