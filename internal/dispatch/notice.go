package dispatch

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/refusal"
)

const (
	// noticeTTL is how long a notice is remembered after it was last confirmed.
	noticeTTL = 10 * time.Minute
	// maxNotices is the number of notices from which those that have expired are dropped.
	maxNotices = 10_000
	// resumeSpread is the time after the end of a pause in which the routers begin to use the target again, each at a random moment.
	resumeSpread = 500 * time.Millisecond
	// rampTime is the time in which a target gets its load back after a pause.
	rampTime = 2 * time.Second
	// pauseRetrySpread is the time after the end of the first pause over which refused callers are spread.
	pauseRetrySpread = time.Second
)

// startKey identifies one start of a target.
type startKey struct {
	nameHash       uint32
	startUnixMilli int64
}

// notice is what one start of a target has said about requests to it, in its answers or its record. It outlives the record: a record that comes
// back from an older copy of the store, or after an outage, does not take it back.
type notice struct {
	// leaving is set if the target takes no new requests. It is never taken back.
	leaving bool
	// pausedAt is the time of the last answer that asked this router for a pause, pausedUntil the end of the longest pause, and resumeAt the
	// time from which this router uses the target again. They are zero if there is no pause.
	pausedAt, pausedUntil, resumeAt time.Time
	expiresAt                       time.Time
}

// isPaused reports whether this router must send the target no requests.
func (n *notice) isPaused(now time.Time) bool { return !n.resumeAt.IsZero() && now.Before(n.resumeAt) }

// allowsRun reports whether this router may have one more run at a target with the given slots. After a pause, the number of runs that it
// may have grows from one.
func (n *notice) allowsRun(now time.Time, running, slots int) bool {
	if n.resumeAt.IsZero() {
		return true
	}
	elapsed := now.Sub(n.resumeAt)
	return elapsed >= rampTime || elapsed >= 0 && running < 1+int(float64(slots)*float64(elapsed)/float64(rampTime))
}

// noticeOf returns the notice of a start of a target for changes.
func (d *Dispatcher) noticeOf(now time.Time, key startKey) *notice {
	found, ok := d.notices[key]
	if !ok {
		d.pruneNotices(now)
		found = &notice{}
		d.notices[key] = found
	}
	found.expiresAt = now.Add(noticeTTL)
	return found
}

// pruneNotices drops expired notices if there are many.
func (d *Dispatcher) pruneNotices(now time.Time) {
	if len(d.notices) < maxNotices {
		return
	}
	for key, known := range d.notices {
		if now.After(known.expiresAt) {
			delete(d.notices, key)
		}
	}
}

// applyNotice connects a target with what this start of it has said.
func (d *Dispatcher) applyNotice(state *targetState) {
	if known, found := d.notices[state.startKey()]; found {
		state.notice = known
		state.Leaving = state.Leaving || known.leaving
	}
}

// keepLeaving keeps what the record of a target says of its leaving. If the record has gone back to before that, or a target is listed again
// that leaves, peers that have just started may know only the record, so they are told. Without a start, a record cannot be told from that of
// a later start.
func (d *Dispatcher) keepLeaving(now time.Time, state *targetState, isListedAnew bool) {
	wasLeaving := state.recordLeaves
	state.recordLeaves = state.Leaving
	switch {
	case state.StartUnixMilli == 0:
	case state.recordLeaves:
		d.noticeOf(now, state.startKey()).leaving = true
	case (isListedAnew || wasLeaving) && d.leaves(state.startKey()):
		d.tellLeaving(state.nameHash, state.StartUnixMilli)
	}
}

// leaves reports whether a start of a target has said that it leaves.
func (d *Dispatcher) leaves(key startKey) bool {
	known, found := d.notices[key]
	return found && known.leaving
}

// RecordLeaving records that the start of a target said in an answer that it leaves. It tells the peers, and reports whether this is new.
func (d *Dispatcher) RecordLeaving(now time.Time, target Target) bool {
	hash := hashName(target.Name)
	if !d.markLeaving(now, startKey{hash, target.StartUnixMilli}) {
		return false
	}
	d.tellLeaving(hash, target.StartUnixMilli)
	return true
}

// markLeaving records that a start of a target leaves, and reports whether this is new.
func (d *Dispatcher) markLeaving(now time.Time, key startKey) bool {
	known := d.noticeOf(now, key)
	if known.leaving {
		return false
	}
	known.leaving = true
	state := d.targetsByHash[key.nameHash]
	if state == nil || state.StartUnixMilli != key.startUnixMilli {
		return true
	}
	d.applyNotice(state)
	s := d.getOrCreateService(state.Service)
	if s.usesSampling() {
		s.sampler.setTargets(d.locality, s.targets)
	}
	d.refuseUnservable(now, s)
	return true
}

// RecordPause records that the start of a target wants no requests from this router until a time. A longer pause replaces a shorter one. It
// reports whether the pause is new or longer. Peers are not told, since the target answered this router only.
func (d *Dispatcher) RecordPause(now time.Time, target Target, until time.Time) bool {
	known := d.noticeOf(now, startKey{hashName(target.Name), target.StartUnixMilli})
	known.pausedAt = now
	if !until.After(known.pausedUntil) || !until.After(now) {
		return false
	}
	known.pausedUntil = until
	known.resumeAt = until.Add(time.Duration(d.random.Float64() * float64(resumeSpread)))
	if state := d.targets[target.Name]; state != nil && state.StartUnixMilli == target.StartUnixMilli {
		d.applyNotice(state)
		d.refuseUnservable(now, d.getOrCreateService(state.Service))
	}
	return true
}

// RecordSuccess ends the pause of a target that has answered an attempt with success which was sent after the pause had begun.
func (d *Dispatcher) RecordSuccess(now time.Time, id uint64) {
	r, found := d.runs[id]
	if !found || !r.target.notice.isPaused(now) || !r.assignedAt.After(r.target.notice.pausedAt) {
		return
	}
	r.target.notice.pausedUntil, r.target.notice.resumeAt = now, now
	d.assignWaiting(now, d.getOrCreateService(r.request.Service))
}

// refuseUnservable refuses the waiting requests that no target will take: all those that they may go to leave, or pause.
func (d *Dispatcher) refuseUnservable(now time.Time, s *service) {
	for _, qr := range s.queue.all() {
		if refused := d.unservable(now, s, qr); refused != nil {
			d.dequeue(s, qr)
			d.refuse(now, qr, refused)
		}
	}
}

// unservable returns the refusal of a request that no target of its service takes, and nil if there is one. A request whose caller may have
// a part of the answer may wait for the end of a pause.
func (d *Dispatcher) unservable(now time.Time, s *service, qr *queuedRequest) *refusal.Error {
	resumeAt, listed := s.firstResume(now, &qr.request)
	switch {
	case !listed:
		return refusal.Newf(refusal.NoTarget, "no target serves %q", s.name).WithRetryAt(now.Add(noTargetRetryDelay))
	case resumeAt.IsZero() || qr.mayHavePart() && resumeAt.Before(now.Add(maxRetryWait)):
		return nil
	}
	spread := time.Duration(d.random.Float64() * float64(pauseRetrySpread))
	return refusal.New(refusal.Overloaded, "all targets ask for a pause").WithRetryAt(resumeAt.Add(spread))
}

// firstResume returns the time at which the first target that a request may go to ends its pause, zero if one is not paused. listed is not
// set if there is no such target.
func (s *service) firstResume(now time.Time, request *Request) (first time.Time, listed bool) {
	for _, state := range s.targets {
		if state.Leaving || !request.allows(&state.Target) {
			continue
		}
		if !state.notice.isPaused(now) {
			return time.Time{}, true
		}
		if !listed || state.notice.resumeAt.Before(first) {
			first, listed = state.notice.resumeAt, true
		}
	}
	return first, listed
}

// TargetNotice is what a target has said about requests to it.
type TargetNotice struct {
	// Target is the name of the target.
	Target string
	// Leaving is set if it takes no new requests, by its record or by an answer.
	Leaving bool
	// PausedUntil is the end of its pause, zero if it has none now.
	PausedUntil time.Time
}

// Notices returns the targets that leave or pause, in no particular order.
func (d *Dispatcher) Notices(now time.Time) []TargetNotice {
	var notices []TargetNotice
	for name, state := range d.targets {
		said := TargetNotice{Target: name, Leaving: state.Leaving}
		if state.notice.isPaused(now) {
			said.PausedUntil = state.notice.resumeAt
		}
		if said.Leaving || !said.PausedUntil.IsZero() {
			notices = append(notices, said)
		}
	}
	return notices
}
