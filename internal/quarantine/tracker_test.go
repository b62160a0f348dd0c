package quarantine_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/quarantine"
)

const (
	// badPart crashes each target that begins to answer a request with it.
	badPart = 666
	// sharedPart is the first part of all prompts.
	sharedPart = 1
	// firstSoundPart is the first of soundPartCount parts of which each sound request has one.
	firstSoundPart = 100
	soundPartCount = 20
	// firstRequest is the fingerprint of the first whole request.
	firstRequest = 1 << 20
	// step is the time between two ticks, linkDelay the delay of messages between routers.
	step      = 25 * time.Millisecond
	linkDelay = 100 * time.Millisecond
	// answerTime is the time from the sending of a request to its answer, or to the crash of its target.
	answerTime = 200 * time.Millisecond
	// takeBackDelay is the time from the claim of a probe that reaches no target until the claim is taken back.
	takeBackDelay = time.Second
	// restartTime is the time from the crash of a target to its next start.
	restartTime = 2 * time.Second
	// stableWindow is the time after the fifth crash from which requests with the part must not reach targets.
	stableWindow = 4 * time.Second
)

var startTime = time.UnixMilli(1_800_000_000_000)

// simRequest is a request at a target.
type simRequest struct {
	router       string
	fingerprints []uint64
	endsAt       time.Time
}

// simTarget is a target of a simulated fleet.
type simTarget struct {
	name     string
	starts   int
	downTill time.Time
	requests []simRequest
}

// delivery is a message between routers under way.
type delivery struct {
	at       time.Time
	from, to string
	body     *fleetpb.Body
}

// unsentProbe is a probe that reached no target, and the time at which its claim is taken back.
type unsentProbe struct {
	id string
	at time.Time
}

// simFleet is several linked routers in front of targets, in virtual time.
type simFleet struct {
	now        time.Time
	random     *rand.Rand
	trackers   map[string]*quarantine.Tracker
	names      []string
	targets    []*simTarget
	deliveries []delivery
	nextID     uint64
	store      claimStore
	// unsentProbes is the fraction of the claimed probes that reach no target, unsent holds those whose claims are not taken back yet.
	unsentProbes float64
	unsent       []unsentProbe
	// crashes holds the times of the crashes. badSent holds the times at which requests with badPart were sent to targets, soundSent and
	// soundRefused those of sound requests.
	crashes, badSent, soundSent, soundRefused []time.Time
}

// newSimFleet returns a fleet of linked routers.
func newSimFleet(seed uint64, routerCount, targetCount int) *simFleet {
	f := &simFleet{now: startTime, random: rand.New(rand.NewPCG(seed, 1)), trackers: make(map[string]*quarantine.Tracker), nextID: firstRequest}
	for i := range routerCount {
		f.names = append(f.names, fmt.Sprint("r", i))
	}
	for i, name := range f.names {
		f.restart(name, seed+uint64(i))
	}
	for i := range targetCount {
		f.targets = append(f.targets, &simTarget{name: fmt.Sprint("t", i)})
	}
	return f
}

// restart replaces the tracker of a router by an empty one and links it with all others.
func (f *simFleet) restart(name string, seed uint64) {
	f.trackers[name] = quarantine.New(quarantine.DefaultLimits(), seed)
	for _, other := range f.names {
		if peer := f.trackers[other]; peer != nil && other != name {
			peer.Disconnected(name)
			peer.Connected(name)
			f.trackers[name].Connected(other)
		}
	}
}

// send lets a random router send a request with a part to a random target that is up, unless it refuses the request.
func (f *simFleet) send(part uint64) {
	f.nextID++
	fingerprints := []uint64{f.nextID, sharedPart, part}
	router := f.names[f.random.IntN(len(f.names))]
	target := f.randomTarget()
	if target == nil {
		return
	}
	verdict := f.trackers[router].Admit(f.now, fingerprints)
	refused := verdict.Refused || verdict.Probe && !f.sendProbe(router, fingerprints)
	switch {
	case refused && part != badPart:
		f.soundRefused = append(f.soundRefused, f.now)
	case !refused:
		if part == badPart {
			f.badSent = append(f.badSent, f.now)
		} else {
			f.soundSent = append(f.soundSent, f.now)
		}
		target.requests = append(target.requests, simRequest{router: router, fingerprints: fingerprints, endsAt: f.now.Add(answerTime)})
	}
}

// sendProbe claims a probe in the store and reports whether it is sent to a target. The claim of one that reaches none is taken back.
func (f *simFleet) sendProbe(router string, fingerprints []uint64) bool {
	tracker, id := f.trackers[router], fmt.Sprint(f.nextID)
	quarantined := tracker.Quarantined(fingerprints)
	decision := tracker.DecideProbe(f.now, id, quarantined, f.store.all())
	tracker.ProbeClaimed(id, decision.Granted)
	claimed := len(decision.Granted) > 0 && f.store.write(decision.Granted, f.store.version)
	unsent := f.random.Float64() < f.unsentProbes
	if claimed && unsent {
		tracker.ProbeUnsent(id, quarantined)
		f.unsent = append(f.unsent, unsentProbe{id: id, at: f.now.Add(takeBackDelay)})
	}
	return claimed && !unsent
}

// takeBackUnsent takes back the claims of unsent probes that are due.
func (f *simFleet) takeBackUnsent() {
	f.unsent = slices.DeleteFunc(f.unsent, func(probe unsentProbe) bool {
		return !f.now.Before(probe.at) && f.store.write(quarantine.WithoutProbes(f.store.all(), []string{probe.id}), f.store.version)
	})
}

// randomTarget returns a random target that is up, or nil if all are down.
func (f *simFleet) randomTarget() *simTarget {
	var up []*simTarget
	for _, target := range f.targets {
		if !f.now.Before(target.downTill) {
			up = append(up, target)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[f.random.IntN(len(up))]
}

// run plays the traffic for a time: the given numbers of sound requests and of requests with badPart a second.
func (f *simFleet) run(length time.Duration, soundPerSecond, badPerSecond float64) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		for range f.arrivals(soundPerSecond) {
			f.send(firstSoundPart + f.random.Uint64N(soundPartCount))
		}
		for range f.arrivals(badPerSecond) {
			f.send(badPart)
		}
		for _, target := range f.targets {
			f.endRequests(target)
		}
		f.exchange()
		f.takeBackUnsent()
	}
}

// arrivals returns a random number of arrivals in a step.
func (f *simFleet) arrivals(perSecond float64) int {
	mean := perSecond * step.Seconds()
	count := int(mean)
	if f.random.Float64() < mean-float64(count) {
		count++
	}
	return count
}

// endRequests ends the requests of a target whose time is over. One with badPart crashes the target.
func (f *simFleet) endRequests(target *simTarget) {
	var remaining []simRequest
	for _, request := range target.requests {
		switch {
		case f.now.Before(request.endsAt):
			remaining = append(remaining, request)
		case slices.Contains(request.fingerprints, badPart):
			f.crash(target)
			return
		default:
			f.trackers[request.router].RecordAnswer(f.now, request.fingerprints)
			f.store.removeEnded(f.trackers[request.router].TakeUnsaved())
		}
	}
	target.requests = remaining
}

// crash ends a target. The routers record the crash for the requests that it had not answered.
func (f *simFleet) crash(target *simTarget) {
	f.crashes = append(f.crashes, f.now)
	crash := quarantine.Crash{ID: fmt.Sprint(target.name, "/", target.starts), Target: target.name}
	for _, request := range target.requests {
		if !f.now.Before(request.endsAt) && !slices.Contains(request.fingerprints, badPart) {
			continue
		}
		f.trackers[request.router].RecordCrash(f.now, crash, request.fingerprints)
	}
	target.starts++
	target.downTill = f.now.Add(restartTime)
	target.requests = nil
}

// exchange sends and delivers the messages between the routers.
func (f *simFleet) exchange() {
	for _, name := range slices.Sorted(maps.Keys(f.trackers)) {
		for _, envelope := range f.trackers[name].Tick(f.now) {
			f.deliveries = append(f.deliveries, delivery{at: f.now.Add(linkDelay), from: name, to: envelope.To, body: envelope.Body})
		}
	}
	f.deliveries = slices.DeleteFunc(f.deliveries, func(d delivery) bool {
		if f.now.Before(d.at) {
			return false
		}
		f.trackers[d.to].Receive(f.now, d.from, d.body.GetCrashRecords().GetRecords())
		return true
	})
}

// countAfter returns the number of times that are after another one.
func countAfter(times []time.Time, at time.Time) int {
	count := 0
	for _, t := range times {
		if t.After(at) {
			count++
		}
	}
	return count
}

// TestBadPartIsQuarantined guards against requests with a part that crashes targets that go on reaching them, and against sound
// requests that are refused because they share a part or a target with those.
func TestBadPartIsQuarantined(t *testing.T) {
	for _, c := range []struct {
		routers, targets int
		sound, bad       float64
	}{
		{1, 4, 20, 2}, {9, 9, 200, 3}, {9, 9, 200, 20}, {9, 9, 20, 0.5}, {60, 90, 1000, 20},
	} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(c, " seed ", seed), func(t *testing.T) {
				f := newSimFleet(seed, c.routers, c.targets)
				f.run(60*time.Second, c.sound, c.bad)
				qt.Assert(t, len(f.crashes) >= 3, qt.IsTrue, qt.Commentf("%d crashes", len(f.crashes)))
				if len(f.crashes) >= 5 {
					late := countAfter(f.badSent, f.crashes[4].Add(stableWindow))
					qt.Check(t, late <= 3, qt.IsTrue, qt.Commentf("%d requests after the fifth crash and the window", late))
				}
				refused, sent := len(f.soundRefused), len(f.soundSent)
				qt.Check(t, refused <= sent/50, qt.IsTrue, qt.Commentf("%d sound requests were refused, %d sent", refused, sent))
			})
		}
	}
}

// TestRareSoundRequestsAreServed guards against the refusal of sound requests that are rarer than those that crash targets, with which
// they share a part. From twice the stable window after the fifth crash on, most of them must be sent.
func TestRareSoundRequestsAreServed(t *testing.T) {
	for _, soundPerSecond := range []float64{0.3, 1} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(soundPerSecond, " seed ", seed), func(t *testing.T) {
				f := newSimFleet(seed, 9, 9)
				f.run(120*time.Second, soundPerSecond, 3)
				decisive := f.crashes[min(len(f.crashes), 5)-1]
				from := decisive.Add(2 * stableWindow)
				sent, refused := countAfter(f.soundSent, from), countAfter(f.soundRefused, from)
				qt.Check(t, refused <= sent, qt.IsTrue, qt.Commentf("%d sound requests were refused, %d sent", refused, sent))
				if len(f.crashes) >= 5 {
					late := countAfter(f.badSent, f.crashes[4].Add(stableWindow))
					qt.Check(t, late <= 3, qt.IsTrue, qt.Commentf("%d requests after the fifth crash and the window", late))
				}
			})
		}
	}
}

// TestSharedPartIsServedAfterCrashesAtOnce guards against a part of sound requests that is refused for long because five targets with it
// were lost at the same time, with and without requests that share it and go on crashing targets.
func TestSharedPartIsServedAfterCrashesAtOnce(t *testing.T) {
	const crashes = 5
	for _, routers := range []int{9, 100} {
		for _, badPerSecond := range []float64{0, 3} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprint(routers, " routers ", badPerSecond, " seed ", seed), func(t *testing.T) {
					t.Parallel()
					f := newSimFleet(seed, routers, 2*crashes)
					for i := range crashes {
						fingerprints := []uint64{uint64(i), sharedPart}
						if badPerSecond > 0 {
							fingerprints = append(fingerprints, badPart)
						}
						f.trackers[f.names[i]].RecordCrash(f.now, quarantine.Crash{ID: fmt.Sprint("lost", i)}, fingerprints)
					}
					f.run(2*stableWindow, 1, badPerSecond)
					from := f.now
					f.run(20*time.Second, 1, badPerSecond)
					sent, refused := countAfter(f.soundSent, from), countAfter(f.soundRefused, from)
					qt.Check(t, refused <= sent, qt.IsTrue, qt.Commentf("%d sound requests were refused, %d sent", refused, sent))
				})
			}
		}
	}
}

// TestRestartedRouterLearnsOfQuarantine guards against a router that sends what crashes targets because it was not there when they
// crashed.
func TestRestartedRouterLearnsOfQuarantine(t *testing.T) {
	f := newSimFleet(1, 3, 9)
	f.run(40*time.Second, 50, 5)
	f.restart("r0", 17)
	f.run(time.Second, 50, 0)
	verdict := f.trackers["r0"].Admit(f.now, []uint64{firstRequest, sharedPart, badPart})
	qt.Check(t, verdict.Refused, qt.IsTrue)
	qt.Check(t, verdict.Fingerprint, qt.Equals, uint64(badPart))
}

// TestRepeatedRequestIsQuarantined guards against a request without shared parts that crashes one target after the other.
func TestRepeatedRequestIsQuarantined(t *testing.T) {
	tracker := quarantine.New(quarantine.DefaultLimits(), 1)
	repeated, now := []uint64{firstRequest}, startTime
	for i := range 3 {
		qt.Check(t, tracker.Admit(now, repeated).Refused, qt.IsFalse)
		tracker.RecordCrash(now, quarantine.Crash{ID: fmt.Sprint("t", i)}, repeated)
		tracker.RecordCrash(now, quarantine.Crash{ID: fmt.Sprint("t", i)}, repeated)
	}
	qt.Check(t, tracker.Admit(now, repeated).Refused, qt.IsTrue)
	qt.Check(t, tracker.QuarantinedCount(), qt.Equals, 1)
	qt.Check(t, tracker.TakeChanges(), qt.DeepEquals, []quarantine.Change{
		{Fingerprint: firstRequest, Quarantined: true, Crashes: []string{"t0", "t1", "t2"}},
	})
}

// TestProbeEndsMistakenQuarantine guards against sound requests that are refused for long because they were on targets that crashed
// for other reasons, at a router without peers.
func TestProbeEndsMistakenQuarantine(t *testing.T) {
	tracker := quarantine.New(quarantine.DefaultLimits(), 1)
	rare, now := []uint64{firstSoundPart}, startTime
	for i := range 3 {
		tracker.RecordCrash(now, quarantine.Crash{ID: fmt.Sprint("t", i)}, rare)
	}
	verdict := tracker.Admit(now, rare)
	qt.Assert(t, verdict.Refused, qt.IsTrue)
	qt.Assert(t, verdict.RetryAt.Sub(now) <= 4*time.Second, qt.IsTrue)
	now = verdict.RetryAt
	qt.Assert(t, tracker.Admit(now, rare), qt.Equals, quarantine.Verdict{Probe: true, Fingerprint: firstSoundPart})
	qt.Check(t, tracker.Admit(now, rare).Refused, qt.IsTrue, qt.Commentf("a second request beside the probe"))
	tracker.RecordAnswer(now, rare)
	qt.Check(t, tracker.Admit(now, rare), qt.Equals, quarantine.Verdict{})
}

// TestAnswerClearsRecordsOfPeers guards against a quarantine at routers that have answered no request with the part themselves, and
// against a record that comes back after it was cleared.
func TestAnswerClearsRecordsOfPeers(t *testing.T) {
	f := newSimFleet(1, 3, 1)
	part := []uint64{firstSoundPart}
	for i := range 3 {
		f.trackers["r0"].RecordCrash(f.now, quarantine.Crash{ID: fmt.Sprint("t", i)}, part)
	}
	f.run(time.Second, 0, 0)
	qt.Assert(t, f.trackers["r2"].Admit(f.now, part).Refused, qt.IsTrue)
	f.trackers["r1"].RecordAnswer(f.now, part)
	f.run(time.Second, 0, 0)
	for _, name := range f.names {
		qt.Check(t, f.trackers[name].Admit(f.now, part), qt.Equals, quarantine.Verdict{}, qt.Commentf("%s", name))
	}
	f.restart("r2", 5)
	f.run(time.Second, 0, 0)
	f.trackers["r0"].RecordCrash(f.now, quarantine.Crash{ID: "t0"}, part)
	f.run(time.Second, 0, 0)
	qt.Check(t, f.trackers["r2"].Admit(f.now, part), qt.Equals, quarantine.Verdict{})
}

// TestRecordsExpire guards against records that are kept, or sent back and forth, for longer than their lifetime.
func TestRecordsExpire(t *testing.T) {
	f := newSimFleet(1, 2, 1)
	part := []uint64{badPart}
	for i := range 5 {
		f.trackers["r0"].RecordCrash(f.now, quarantine.Crash{ID: fmt.Sprint("t", i)}, part)
	}
	f.run(time.Second, 0, 0)
	f.now = startTime.Add(time.Hour - time.Second)
	f.trackers["r0"].Connected("r1")
	f.run(500*time.Millisecond, 0, 0)
	qt.Check(t, f.trackers["r1"].Quarantined(part), qt.DeepEquals, part)
	f.now = startTime.Add(time.Hour + time.Second)
	f.run(2*time.Second, 0, 0)
	for _, name := range f.names {
		qt.Check(t, f.trackers[name].Admit(f.now, part), qt.Equals, quarantine.Verdict{})
	}
}

// exchange delivers the messages of trackers until none has any.
func exchange(trackers map[string]*quarantine.Tracker) {
	for delivered := true; delivered; {
		delivered = false
		for _, name := range slices.Sorted(maps.Keys(trackers)) {
			for _, envelope := range trackers[name].Tick(startTime) {
				delivered = true
				trackers[envelope.To].Receive(startTime, name, envelope.Body.GetCrashRecords().GetRecords())
			}
		}
	}
}

// TestRelaysPassRecordsOn guards against crashes seen in two regions that do not add up, and against answers in one region that do not clear
// a part in the other one. The routers a and b, and c and d, are linked, and the relays b and c connect them.
func TestRelaysPassRecordsOn(t *testing.T) {
	trackers := make(map[string]*quarantine.Tracker)
	for seed, name := range []string{"a", "b", "c", "d"} {
		trackers[name] = quarantine.New(quarantine.DefaultLimits(), uint64(seed))
		trackers[name].SetRelays(name == "b" || name == "c")
	}
	for _, link := range [][2]string{{"a", "b"}, {"b", "c"}, {"c", "d"}} {
		trackers[link[0]].Connected(link[1])
		trackers[link[1]].Connected(link[0])
	}
	part := []uint64{badPart}
	for i := range 5 {
		name := []string{"a", "d"}[i%2]
		trackers[name].RecordCrash(startTime, quarantine.Crash{ID: fmt.Sprint("t", i)}, part)
	}
	exchange(trackers)
	for name, tracker := range trackers {
		qt.Check(t, tracker.Quarantined(part), qt.DeepEquals, part, qt.Commentf(name))
	}
	trackers["d"].RecordAnswer(startTime, part)
	exchange(trackers)
	for name, tracker := range trackers {
		qt.Check(t, tracker.Quarantined(part), qt.HasLen, 0, qt.Commentf(name))
	}
}

// TestInvalidRecordsAreDropped guards against records of a peer that would make a message invalid or never expire.
func TestInvalidRecordsAreDropped(t *testing.T) {
	tracker := quarantine.New(quarantine.DefaultLimits(), 1)
	later := startTime.Add(time.Minute).UnixMilli()
	invalid := tracker.Receive(startTime, "r1", []*fleetpb.CrashRecord{
		{Fingerprint: badPart, Expiry: later},
		{Fingerprint: badPart, Crash: "\xff", Expiry: later},
		{Fingerprint: badPart, Crash: "t", Target: string(make([]byte, 300)), Expiry: later},
		{Fingerprint: badPart, Crash: "t", Expiry: startTime.UnixMilli()},
	})
	qt.Check(t, invalid, qt.Equals, 3)
	qt.Check(t, tracker.QuarantinedCount(), qt.Equals, 0)
}

// TestQuarantineIsStored guards against a quarantine that is forgotten when all routers end, and against one that comes back from the
// store after its end. Only routers that recorded a crash write it, so that not all do.
func TestQuarantineIsStored(t *testing.T) {
	f := newSimFleet(1, 3, 1)
	part := []uint64{firstSoundPart}
	for i := range 3 {
		f.trackers["r0"].RecordCrash(f.now, quarantine.Crash{ID: fmt.Sprint("t", i)}, part)
	}
	f.run(time.Second, 0, 0)
	qt.Check(t, f.trackers["r1"].TakeUnsaved(), qt.HasLen, 0)
	stored := f.trackers["r0"].TakeUnsaved()
	qt.Assert(t, stored, qt.HasLen, 1)
	qt.Check(t, f.trackers["r0"].TakeUnsaved(), qt.HasLen, 0)

	started := quarantine.New(quarantine.DefaultLimits(), 1)
	started.Receive(f.now, "", stored[0].Records)
	qt.Check(t, started.Admit(f.now, part).Refused, qt.IsTrue)

	f.trackers["r1"].RecordAnswer(f.now, part)
	ended := f.trackers["r1"].TakeUnsaved()
	qt.Assert(t, ended, qt.HasLen, 1)
	qt.Check(t, ended[0].Records, qt.HasLen, 0)
	started.Lift(ended[0].Fingerprint)
	qt.Check(t, started.Admit(f.now, part), qt.Equals, quarantine.Verdict{})
	qt.Check(t, started.TakeUnsaved(), qt.HasLen, 0)
}

// TestProbesThatReachNoTargetDoNotCount guards against sound requests that are refused for long because the probes of what they share were
// claimed and then reached no target, as is usual right after crashes.
func TestProbesThatReachNoTargetDoNotCount(t *testing.T) {
	for _, perSecond := range []float64{0.3, 1, 4} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprint(perSecond, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				f := newSimFleet(seed, 9, 9)
				f.unsentProbes = 0.5
				for i := range 3 {
					crash := quarantine.Crash{ID: fmt.Sprint("lost", i)}
					f.trackers[f.names[i]].RecordCrash(f.now, crash, []uint64{uint64(i), sharedPart})
				}
				f.run(90*time.Second, perSecond, 0)
				from := f.now
				f.run(20*time.Second, perSecond, 0)
				sent, refused := countAfter(f.soundSent, from), countAfter(f.soundRefused, from)
				qt.Check(t, refused <= sent, qt.IsTrue, qt.Commentf("%d sound requests were refused, %d sent", refused, sent))
			})
		}
	}
}

// TestQuarantineThatTheStoreLostIsWrittenAgain guards against a quarantine that ends with the routers because the store came back from an
// older copy.
func TestQuarantineThatTheStoreLostIsWrittenAgain(t *testing.T) {
	tracker := quarantine.New(quarantine.DefaultLimits(), 1)
	for i := range 3 {
		tracker.RecordCrash(startTime, quarantine.Crash{ID: fmt.Sprint("t", i)}, []uint64{badPart})
	}
	written := tracker.TakeUnsaved()
	qt.Assert(t, written, qt.HasLen, 1)
	tracker.Reloaded(map[uint64]bool{badPart: true})
	qt.Check(t, tracker.TakeUnsaved(), qt.HasLen, 0)
	tracker.Reloaded(nil)
	again := tracker.TakeUnsaved()
	qt.Assert(t, again, qt.HasLen, 1)
	qt.Check(t, again[0].Fingerprint, qt.Equals, uint64(badPart))
	qt.Check(t, again[0].Records, qt.HasLen, 3)
}
