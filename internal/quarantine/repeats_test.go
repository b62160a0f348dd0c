package quarantine_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/quarantine"
)

const (
	// repeatRouters and repeatTargets are the sizes of a repeatFleet.
	repeatRouters = 9
	repeatTargets = 3
	// soundRun is the time from the arrival of a request at a target to the answer.
	soundRun = 25 * time.Millisecond
	// restartSpan is the difference between the longest and the shortest time from a crash to the next start of the target.
	restartSpan = 2 * time.Second
	// maxHop is the maximum delay between a router and a target or another router, slowHop the additional one of messages to a slow router.
	maxHop  = 25 * time.Millisecond
	slowHop = 300 * time.Millisecond
	// maxUntilSeen is the maximum time until a router sends requests to a target that has started.
	maxUntilSeen = 800 * time.Millisecond
	// maxClaimAttempts is how often a router tries to write a claim, lostAnswers the part of the writes whose answers are lost.
	// maxTakeBackAttempts is how often it tries to take one back.
	maxClaimAttempts    = 2
	maxTakeBackAttempts = 4
	lostAnswers         = 0.05
	// allowedLate is how often a whole request may be sent to targets later than stableWindow after it has crashed the third.
	allowedLate = 3
)

// simEvent is an action at a time.
type simEvent struct {
	at     time.Time
	number int
	action func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}

// repeatCase is the traffic of a repeatFleet.
type repeatCase struct {
	// kinds is the number of whole requests that crash targets, sounds that of whole requests that are answered. Each comes again and again.
	kinds, sounds int
	// kindRate and soundRate are the arrivals of each per second, attempts the maximum number of attempts at targets.
	kindRate, soundRate float64
	attempts            int
	// slowRouters is the number of routers that hear of everything later.
	slowRouters int
	// run is the time from the arrival of a request at a target to the crash, restart the shortest time from then to the next start.
	run, restart time.Duration
}

// repeatRequest is a whole request with what became of it.
type repeatRequest struct {
	fingerprint uint64
	crashes     bool
	// crashed holds the times of the crashes under the request, sent the times at which it was sent to targets that it reached.
	crashed, sent             []time.Time
	arrived, served, refusals int
}

// late returns how often the request was sent later than the window after its third crash.
func (r *repeatRequest) late() int {
	if len(r.crashed) < 3 {
		return 0
	}
	return countAfter(r.sent, r.crashed[2].Add(stableWindow))
}

// repeatTarget is a target that crashes and starts again.
type repeatTarget struct {
	name    string
	start   int
	up      bool
	seenBy  [repeatRouters]bool
	running map[int]*repeatRun
}

// repeatRun is a request at a target.
type repeatRun struct {
	router, attempt int
	request         *repeatRequest
	// probeID is the id of the claimed probe if the request is one.
	probeID string
}

// repeatFleet is several linked routers in front of few targets, in virtual time: whole requests come again at any router.
type repeatFleet struct {
	c        repeatCase
	now      time.Time
	random   *rand.Rand
	events   eventQueue
	number   int
	trackers []*quarantine.Tracker
	targets  []*repeatTarget
	store    claimStore
	// takenBack is the number of claims that were taken back.
	takenBack int
}

// claimStore holds the claims of probes, as the store does.
type claimStore struct {
	claims map[uint64]quarantine.Claim
	// version rises with each write.
	version int
}

// all returns all claims.
func (s *claimStore) all() []quarantine.Claim { return slices.Collect(maps.Values(s.claims)) }

// write writes claims, unless something was written since the version.
func (s *claimStore) write(claims []quarantine.Claim, version int) bool {
	if version != s.version {
		return false
	}
	if s.claims == nil {
		s.claims = make(map[uint64]quarantine.Claim)
	}
	for _, claim := range claims {
		s.claims[claim.Fingerprint] = claim
	}
	s.version++
	return true
}

// removeEnded removes the claims of quarantines that have ended.
func (s *claimStore) removeEnded(unsaved []quarantine.Stored) {
	for _, stored := range unsaved {
		if stored.Records == nil {
			delete(s.claims, stored.Fingerprint)
			s.version++
		}
	}
}

// newRepeatFleet returns a fleet of linked routers that see all targets.
func newRepeatFleet(c repeatCase, seed uint64) *repeatFleet {
	f := &repeatFleet{c: c, now: startTime, random: rand.New(rand.NewPCG(seed, 7))}
	for i := range repeatRouters {
		f.trackers = append(f.trackers, quarantine.New(quarantine.DefaultLimits(), seed*100+uint64(i)))
	}
	for i, tracker := range f.trackers {
		for j := range f.trackers {
			if i != j {
				tracker.Connected(fmt.Sprint(j))
			}
		}
		f.after(step, func() { f.tick(i) })
	}
	for i := range repeatTargets {
		target := &repeatTarget{name: fmt.Sprint("t", i), up: true, running: make(map[int]*repeatRun)}
		for j := range repeatRouters {
			target.seenBy[j] = true
		}
		f.targets = append(f.targets, target)
	}
	return f
}

// after schedules an action.
func (f *repeatFleet) after(delay time.Duration, action func()) {
	f.number++
	heap.Push(&f.events, simEvent{at: f.now.Add(delay), number: f.number, action: action})
}

// upTo returns a random time up to a maximum.
func (f *repeatFleet) upTo(maximum time.Duration) time.Duration {
	return time.Duration(f.random.Float64() * float64(maximum))
}

// hop returns the time until a router hears of something.
func (f *repeatFleet) hop(router int) time.Duration {
	delay := f.upTo(maxHop)
	if router < f.c.slowRouters {
		delay += slowHop
	}
	return delay
}

// tick sends the messages of a router to the others.
func (f *repeatFleet) tick(router int) {
	for _, envelope := range f.trackers[router].Tick(f.now) {
		var to int
		_, _ = fmt.Sscan(envelope.To, &to)
		f.after(f.hop(to), func() {
			f.trackers[to].Receive(f.now, fmt.Sprint(router), envelope.Body.GetCrashRecords().GetRecords())
		})
	}
	f.after(step, func() { f.tick(router) })
}

// arrive lets a request arrive at a random router, and schedules its next arrival.
func (f *repeatFleet) arrive(request *repeatRequest, rate float64) {
	request.arrived++
	f.attempt(request, f.random.IntN(repeatRouters), 1)
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() { f.arrive(request, rate) })
}

// attempt sends a request to a target that the router sees, unless it refuses the request.
func (f *repeatFleet) attempt(request *repeatRequest, router, attempt int) {
	if attempt > f.c.attempts {
		return
	}
	var seen []*repeatTarget
	for _, target := range f.targets {
		if target.seenBy[router] {
			seen = append(seen, target)
		}
	}
	if len(seen) == 0 {
		return
	}
	target := seen[f.random.IntN(len(seen))]
	verdict := f.trackers[router].Admit(f.now, []uint64{request.fingerprint})
	switch run := (&repeatRun{router: router, attempt: attempt, request: request}); {
	case verdict.Refused:
		request.refusals++
	case verdict.Probe:
		f.claim(run, maxClaimAttempts, func() { f.send(target, run) })
	default:
		f.send(target, run)
	}
}

// claim writes the claim of a probe to the store and then calls granted. The answer of the store may be lost. Then the probe is not sent.
func (f *repeatFleet) claim(run *repeatRun, attempts int, granted func()) {
	tracker, fingerprints := f.trackers[run.router], []uint64{run.request.fingerprint}
	f.number++
	run.probeID = fmt.Sprint(f.number)
	f.after(f.hop(run.router), func() {
		decision, version := tracker.DecideProbe(f.now, run.probeID, fingerprints, f.store.all()), f.store.version
		f.after(f.hop(run.router), func() {
			switch {
			case len(decision.Granted) == 0:
			case f.store.write(decision.Granted, version):
				tracker.ProbeClaimed(run.probeID, decision.Granted)
				if f.random.Float64() >= lostAnswers {
					granted()
				} else {
					f.endUnsent(run)
				}
			case attempts > 1:
				f.claim(run, attempts-1, granted)
			}
		})
	})
}

// endUnsent takes back the claim of a request that reached no target if it was a probe.
func (f *repeatFleet) endUnsent(run *repeatRun) {
	if run.probeID != "" {
		f.trackers[run.router].ProbeUnsent(run.probeID, []uint64{run.request.fingerprint})
		f.takeBack(run, maxTakeBackAttempts)
	}
}

// takeBack takes back the claim of an unsent probe. The answer of the store may be lost, and then it is tried again.
func (f *repeatFleet) takeBack(run *repeatRun, attempts int) {
	f.after(f.hop(run.router), func() {
		changed, version := quarantine.WithoutProbes(f.store.all(), []string{run.probeID}), f.store.version
		f.after(f.hop(run.router), func() {
			if len(changed) == 0 {
				return
			}
			written := f.store.write(changed, version)
			if written {
				f.takenBack++
			}
			if attempts > 1 && (!written || f.random.Float64() < lostAnswers) {
				f.takeBack(run, attempts-1)
			}
		})
	})
}

// send sends a request to a target.
func (f *repeatFleet) send(target *repeatTarget, run *repeatRun) {
	sentAt := f.now
	f.after(f.upTo(maxHop), func() { f.reach(target, run, sentAt) })
}

// reach lets a request begin at a target. If the target is down, the router learns it.
func (f *repeatFleet) reach(target *repeatTarget, run *repeatRun, sentAt time.Time) {
	if !target.up {
		f.after(f.hop(run.router), func() {
			target.seenBy[run.router] = target.seenBy[run.router] && target.up
			f.endUnsent(run)
			f.attempt(run.request, run.router, run.attempt)
		})
		return
	}
	run.request.sent = append(run.request.sent, sentAt)
	f.number++
	id, start := f.number, target.start
	target.running[id] = run
	length := soundRun
	if run.request.crashes {
		length = f.c.run
	}
	f.after(length, func() {
		switch {
		case target.start != start:
		case run.request.crashes:
			f.crash(target)
		default:
			delete(target.running, id)
			run.request.served++
			f.after(f.hop(run.router), func() { f.recordAnswer(run) })
		}
	})
}

// recordAnswer records an answer and removes the claims of a quarantine that it has ended.
func (f *repeatFleet) recordAnswer(run *repeatRun) {
	f.trackers[run.router].RecordAnswer(f.now, []uint64{run.request.fingerprint})
	f.store.removeEnded(f.trackers[run.router].TakeUnsaved())
}

// crash ends a target. Each router with a request there hears of it, records the crash and tries again.
func (f *repeatFleet) crash(target *repeatTarget) {
	crash := quarantine.Crash{ID: fmt.Sprint(target.name, "/", target.start), Target: target.name}
	counted := make(map[*repeatRequest]bool)
	for _, id := range slices.Sorted(maps.Keys(target.running)) {
		run := target.running[id]
		if !counted[run.request] {
			counted[run.request] = true
			run.request.crashed = append(run.request.crashed, f.now)
		}
		f.after(f.hop(run.router), func() {
			target.seenBy[run.router] = false
			f.trackers[run.router].RecordCrash(f.now, crash, []uint64{run.request.fingerprint})
			f.attempt(run.request, run.router, run.attempt+1)
		})
	}
	target.start++
	target.up = false
	clear(target.running)
	f.after(f.c.restart+f.upTo(restartSpan), func() { f.startTarget(target) })
}

// startTarget starts a target. The routers see it some time later.
func (f *repeatFleet) startTarget(target *repeatTarget) {
	target.up = true
	start := target.start
	for router := range repeatRouters {
		f.after(f.upTo(maxUntilSeen), func() {
			if target.start == start {
				target.seenBy[router] = true
			}
		})
	}
}

// run plays the traffic for a time and returns the requests that crash targets and those that are answered.
func (f *repeatFleet) run(length time.Duration) (crashing, sound []*repeatRequest) {
	end := f.now.Add(length)
	for i := range f.c.sounds {
		request := &repeatRequest{fingerprint: firstSoundPart + uint64(i)}
		sound = append(sound, request)
		f.after(f.upTo(time.Second), func() { f.arrive(request, f.c.soundRate) })
	}
	for i := range f.c.kinds {
		request := &repeatRequest{fingerprint: badPart + uint64(i), crashes: true}
		crashing = append(crashing, request)
		f.after(5*time.Second+f.upTo(500*time.Millisecond), func() { f.arrive(request, f.c.kindRate) })
	}
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		next := heap.Pop(&f.events).(simEvent)
		f.now = next.at
		next.action()
	}
	return crashing, sound
}

// TestRequestThatCrashesTargetsIsSentThreeTimesMore guards against whole requests that crash targets and that go on reaching them because
// each router of the fleet probes them for itself. Beside them, sound requests are served.
func TestRequestThatCrashesTargetsIsSentThreeTimesMore(t *testing.T) {
	const seeds = 60
	short, long := 35*time.Millisecond, 300*time.Millisecond
	soon, later := 2*time.Second, 5*time.Second
	for _, c := range []repeatCase{
		{kinds: 1, kindRate: 1, attempts: 2, run: short, restart: soon},
		{kinds: 1, kindRate: 4, attempts: 2, run: short, restart: later},
		{kinds: 1, kindRate: 8, attempts: 1, run: long, restart: later, slowRouters: 3},
		{kinds: 2, kindRate: 1, attempts: 2, run: long, restart: soon},
		{kinds: 2, kindRate: 4, attempts: 3, run: short, restart: later, slowRouters: 3},
		{kinds: 3, kindRate: 2, attempts: 2, run: short, restart: soon, sounds: 6, soundRate: 0.5, slowRouters: 2},
		{kinds: 5, kindRate: 8, attempts: 3, run: long, restart: soon, sounds: 4, soundRate: 1, slowRouters: 3},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			t.Parallel()
			broken, worst, served, arrived, crashes, takenBack := 0, 0, 0, 0, 0, 0
			for seed := range uint64(seeds) {
				f := newRepeatFleet(c, seed)
				crashing, sound := f.run(60 * time.Second)
				takenBack += f.takenBack
				late := 0
				for _, request := range crashing {
					late = max(late, request.late())
					crashes += len(request.crashed)
				}
				if late > allowedLate {
					broken++
				}
				worst = max(worst, late)
				for _, request := range sound {
					served += request.served
					arrived += request.arrived
				}
			}
			t.Logf("%d crashes, %d of %d sound requests served, %d claims taken back", crashes, served, arrived, takenBack)
			qt.Check(t, broken, qt.Equals, 0, qt.Commentf("in %d of %d runs a request was sent up to %d times after its third crash and the window",
				broken, seeds, worst))
		})
	}
}
