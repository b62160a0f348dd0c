package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadSpan is the time in which a target's word on its load loses its weight.
	loadSpan = 500 * time.Millisecond
	// failureSpan is the time in which the failures of a target fall to a third without new ones.
	failureSpan = 5 * time.Second
	// failureWeight is the weight of one outcome in the ratio of failures.
	failureWeight = 0.15
	// paceWeight is the weight of one answer in the pace of a target.
	paceWeight = 0.2
	// longestPace bounds the pace, so that a slow target is tried again.
	longestPace = 20.0
	// unreachablePause is how long a target that accepts no connection is left alone; it doubles up to longestPause with
	// each further failure.
	unreachablePause = time.Second
	longestPause     = 8 * time.Second
	// misdirectedPause is how long a target at whose address another one answers is left alone. Its entry goes soon.
	misdirectedPause = 5 * time.Second
	// rejectedPause is how long a target that rejected a request is left alone.
	rejectedPause = 50 * time.Millisecond
	// tellingSpan is the time after which a peer knows what this process gave a target.
	tellingSpan = 200 * time.Millisecond
	// tellingWeight is the weight of a peer's word on what is unread.
	tellingWeight = 0.1
	// silence is how long an engine with running streams may send nothing.
	silence = 700 * time.Millisecond
)

// assignment is a number of tokens that a target was given to read.
type assignment struct {
	tokens float64
	at     time.Time
}

// targetState is what this process knows of a target.
type targetState struct {
	Target
	// hash is that of the name, short its form in messages to peers.
	hash  uint64
	short uint32
	// running is the number of this process's runs at the target.
	running int
	// others is the number of the runs of other processes when the target last told its load.
	others   float64
	othersAt time.Time
	// sharedRunning is the same figure of all linked peers.
	sharedRunning int
	// unread is the number of tokens that the target had to read at an instant, of all linked processes.
	unread   float64
	unreadAt time.Time
	// recent is what this process gave the target a moment ago.
	recent []assignment
	// given is the number of tokens that the target was given to read since it is known.
	given float64
	// pending are the runs without a first byte, the oldest first.
	pending []*run
	// heard is the instant of the last byte from the target.
	heard time.Time
	// cache is what the target is believed to hold of prompts, memory the number of tokens that it holds in all.
	cache  *cache
	memory int
	// failures is the weighted part of failed runs.
	failures   float64
	failuresAt time.Time
	// pace is the ratio of observed to predicted times to the first byte.
	pace float64
	// blocked is the instant until which the target gets nothing, refusals the number of connections in a row that it did
	// not accept.
	blocked  time.Time
	refusals int
	// gone is set if the target is not listed any more.
	gone bool
}

// newTargetState returns the state of a target of which nothing is known.
func newTargetState(target Target) *targetState {
	return &targetState{Target: target, hash: xxhash.Sum64String(target.Name), short: short(target.Name), cache: newCache(), pace: 1}
}

// occupied returns the number of runs at the target, of all processes as far as known. The target's own word is the only
// one on runs of processes without a link, and soon out of date.
func (t *targetState) occupied(now time.Time) float64 {
	others := t.others * math.Exp(-float64(max(now.Sub(t.othersAt), 0))/float64(loadSpan))
	return float64(t.running) + max(others, float64(t.sharedRunning))
}

// queued returns the number of tokens that the target still has to read if it reads so many a second.
func (t *targetState) queued(now time.Time, speed float64) float64 {
	return max(t.unread-speed*max(now.Sub(t.unreadAt), 0).Seconds(), t.behind(now), 0)
}

// behind returns the number of tokens that the target was given after a run that it should have answered by now. Prompts
// are read in the order of arrival, so it has not read them.
func (t *targetState) behind(now time.Time) float64 {
	if len(t.pending) == 0 || now.Before(t.pending[0].expected) {
		return 0
	}
	return t.given - t.pending[0].mark
}

// read gives the target tokens to read.
func (t *targetState) read(now time.Time, speed float64, tokens int) {
	t.unread, t.unreadAt = t.queued(now, speed)+float64(tokens), now
	t.given += float64(tokens)
}

// room tells whether the target has a free slot.
func (t *targetState) room(now time.Time) bool { return t.occupied(now)+0.5 < float64(max(t.Slots, 1)) }

// sound tells whether nothing speaks against the target.
func (t *targetState) sound(now time.Time) bool {
	if now.Before(t.blocked) {
		return false
	}
	if len(t.pending) > 0 && now.After(t.pending[0].due) && now.Sub(t.heard) > silence {
		return false
	}
	streams := t.running - len(t.pending)
	return streams == 0 || t.heard.IsZero() || now.Sub(t.heard) <= silence
}

// failed returns the part of failed runs that still counts.
func (t *targetState) failed(now time.Time) float64 {
	return t.failures * math.Exp(-float64(max(now.Sub(t.failuresAt), 0))/float64(failureSpan))
}

// note counts an outcome of a run.
func (t *targetState) note(now time.Time, failure float64) {
	t.failures = t.failed(now)*(1-failureWeight) + failure*failureWeight
	t.failuresAt = now
}

// learn moves the number of unread tokens towards what a peer believes, which may lack what this process gave the target a
// moment ago.
func (t *targetState) learn(now time.Time, speed, unread float64) {
	t.trimRecent(now)
	for _, each := range t.recent {
		unread += each.tokens
	}
	own := t.queued(now, speed)
	t.unread, t.unreadAt = own+(unread-own)*tellingWeight, now
}

// trimRecent drops what the peers know by now.
func (t *targetState) trimRecent(now time.Time) {
	t.recent = slices.DeleteFunc(t.recent, func(a assignment) bool { return now.Sub(a.at) > tellingSpan })
}

// cached returns how many tokens of the prompt the target has in its cache.
func (t *targetState) cached(now time.Time, parts []Part) int {
	tokens := 0
	for _, part := range parts {
		if !t.cache.holds(now, part.ID) {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// forget notes that the session's part was not read after all.
func (t *targetState) forget(request *Request) { t.cache.drop(request.session()) }

// begin enters a run.
func (t *targetState) begin(now time.Time, started *run) {
	if t.running == 0 {
		t.heard = now
	}
	t.running++
	t.pending = append(t.pending, started)
	t.trimRecent(now)
	t.recent = append(t.recent, assignment{tokens: float64(started.missing), at: now})
	for _, part := range started.request.Parts {
		t.cache.use(now, part, t.memory)
	}
}

// answer notes the first byte of a run; predicted is what a target of usual speed would have taken.
func (t *targetState) answer(now time.Time, answered *run, predicted time.Duration) {
	t.heard = now
	t.refusals = 0
	// Prompts are read in the order of arrival, so what is still unread came after the answered run.
	t.unread = min(t.unread, t.given-answered.mark)
	t.pending = slices.DeleteFunc(t.pending, func(r *run) bool { return r == answered })
	ratio := float64(now.Sub(answered.placed)) / float64(max(predicted, time.Millisecond))
	t.pace += (min(ratio, longestPace) - t.pace) * paceWeight
}

// block leaves the target alone for a time that grows with each connection in a row that it did not accept.
func (t *targetState) block(now time.Time) {
	pause := unreachablePause << min(t.refusals, 3)
	t.refusals++
	t.blocked = now.Add(min(pause, longestPause))
}

// end removes a run.
func (t *targetState) end(ended *run) {
	t.running--
	if !ended.answered {
		t.pending = slices.DeleteFunc(t.pending, func(r *run) bool { return r == ended })
	}
}

// observe takes over what the target told of its load.
func (t *targetState) observe(now time.Time, load Load) {
	if load.Slots > 0 {
		t.Slots = load.Slots
	}
	t.others = max(float64(load.Running+load.Waiting-t.running), 0)
	t.othersAt = now
}
