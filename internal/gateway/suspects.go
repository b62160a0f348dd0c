package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/quarantine"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// maxQuarantineRetry is the time after which callers should retry a request with a fingerprint that is refused for long.
const maxQuarantineRetry = time.Minute

// suspects makes a quarantine tracker safe for concurrent use and logs its changes.
type suspects struct {
	logger zerolog.Logger

	mu      sync.Mutex
	tracker *quarantine.Tracker
}

// newSuspects returns suspects that use the tracker.
func newSuspects(tracker *quarantine.Tracker, logger zerolog.Logger) *suspects {
	return &suspects{tracker: tracker, logger: logger}
}

// withTracker calls action with exclusive access to the tracker and the current time, and logs the changes.
func (s *suspects) withTracker(action func(tracker *quarantine.Tracker, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	action(s.tracker, time.Now())
	for _, change := range s.tracker.TakeChanges() {
		if change.Quarantined {
			event.Quarantined.Log(s.logger, change.Fingerprint, change.Crashes)
		} else {
			event.QuarantineLifted.Log(s.logger, change.Fingerprint)
		}
	}
}

// admit returns a refusal if a request with the fingerprints must not be sent to a target. If probe is set, it may be sent once the claims
// of its probe are in the store.
func (s *suspects) admit(fingerprints []uint64) (probe bool, refusalErr *refusal.Error) {
	var verdict quarantine.Verdict
	var now time.Time
	s.withTracker(func(tracker *quarantine.Tracker, at time.Time) {
		verdict, now = tracker.Admit(at, fingerprints), at
	})
	if !verdict.Refused {
		return verdict.Probe, nil
	}
	return false, refuseQuarantined(now, verdict.RetryAt)
}

// refuseQuarantined returns the refusal of a request with a quarantined fingerprint. Callers are told to retry after maxQuarantineRetry at
// the latest, since a quarantine may end at any time.
func refuseQuarantined(now, retryAt time.Time) *refusal.Error {
	latest := now.Add(maxQuarantineRetry)
	if retryAt.IsZero() || retryAt.After(latest) {
		retryAt = latest
	}
	return refusal.New(refusal.Quarantined, "the request, or a part of its prompt, crashes targets").WithRetryAt(retryAt)
}

// quarantined returns those of the fingerprints that are quarantined.
func (s *suspects) quarantined(fingerprints []uint64) []uint64 {
	var quarantined []uint64
	s.withTracker(func(tracker *quarantine.Tracker, _ time.Time) { quarantined = tracker.Quarantined(fingerprints) })
	return quarantined
}

// decideProbe decides on a probe from the claims in the store.
func (s *suspects) decideProbe(probeID string, quarantined []uint64, known []quarantine.Claim) quarantine.ProbeDecision {
	var decision quarantine.ProbeDecision
	s.withTracker(func(tracker *quarantine.Tracker, now time.Time) {
		decision = tracker.DecideProbe(now, probeID, quarantined, known)
	})
	return decision
}

// probeClaimed records a probe whose claims this router has written, or may have written.
func (s *suspects) probeClaimed(probeID string, claims []quarantine.Claim) {
	s.withTracker(func(tracker *quarantine.Tracker, _ time.Time) { tracker.ProbeClaimed(probeID, claims) })
}

// lostClaims returns the claims of this router to write again that are not among those in the store.
func (s *suspects) lostClaims(known []quarantine.Claim) (lost []quarantine.Claim) {
	s.withTracker(func(tracker *quarantine.Tracker, now time.Time) { lost = tracker.LostClaims(now, known) })
	return lost
}

// probeUnsent records that a probe that this router has claimed reached no target, and never will.
func (s *suspects) probeUnsent(probeID string, fingerprints []uint64) {
	s.withTracker(func(tracker *quarantine.Tracker, _ time.Time) { tracker.ProbeUnsent(probeID, fingerprints) })
}

// reloaded has quarantines written again that the store has lost.
func (s *suspects) reloaded(present map[uint64]bool) {
	s.withTracker(func(tracker *quarantine.Tracker, _ time.Time) { tracker.Reloaded(present) })
}

// recordCrash records a crash of a target that had not answered a request with the fingerprints.
func (s *suspects) recordCrash(crash quarantine.Crash, fingerprints []uint64) {
	s.withTracker(func(tracker *quarantine.Tracker, now time.Time) { tracker.RecordCrash(now, crash, fingerprints) })
}

// recordAnswer records that a request with the fingerprints was answered.
func (s *suspects) recordAnswer(fingerprints []uint64) {
	s.withTracker(func(tracker *quarantine.Tracker, now time.Time) { tracker.RecordAnswer(now, fingerprints) })
}

// receive handles the crash records of a peer.
func (s *suspects) receive(from string, records []*fleetpb.CrashRecord) {
	invalid := 0
	s.withTracker(func(tracker *quarantine.Tracker, now time.Time) { invalid = tracker.Receive(now, from, records) })
	if invalid > 0 {
		event.RecordInvalid.Log(s.logger, "crashes", from, fmt.Sprintf("%d of %d records", invalid, len(records)))
	}
}

// quarantinedCount returns the number of quarantined fingerprints.
func (s *suspects) quarantinedCount() int {
	count := 0
	s.withTracker(func(tracker *quarantine.Tracker, _ time.Time) { count = tracker.QuarantinedCount() })
	return count
}

// peerConnected starts to send records to a peer.
func (s *suspects) peerConnected(peer string) {
	s.withTracker(func(tracker *quarantine.Tracker, _ time.Time) { tracker.Connected(peer) })
}

// peerDisconnected stops to send records to a peer.
func (s *suspects) peerDisconnected(peer string) {
	s.withTracker(func(tracker *quarantine.Tracker, _ time.Time) { tracker.Disconnected(peer) })
}

// setRelays sets whether this router passes the records of its peers on.
func (s *suspects) setRelays(relays bool) {
	s.withTracker(func(tracker *quarantine.Tracker, _ time.Time) { tracker.SetRelays(relays) })
}

// receiveStored handles the crash records of a fingerprint in the store. Without any, its quarantine has ended.
func (s *suspects) receiveStored(fingerprint uint64, records []*fleetpb.CrashRecord) {
	s.withTracker(func(tracker *quarantine.Tracker, now time.Time) {
		if records == nil {
			tracker.Lift(fingerprint)
			return
		}
		if invalid := tracker.Receive(now, "", records); invalid > 0 {
			event.RecordInvalid.Log(s.logger, "quarantine", fingerprint, fmt.Sprintf("%d of %d records", invalid, len(records)))
		}
	})
}

// takeUnsaved returns what this router has to write to the store.
func (s *suspects) takeUnsaved() []quarantine.Stored {
	var unsaved []quarantine.Stored
	s.withTracker(func(tracker *quarantine.Tracker, _ time.Time) { unsaved = tracker.TakeUnsaved() })
	return unsaved
}

// tick returns the messages to peers that are due.
func (s *suspects) tick() []message.Envelope {
	var envelopes []message.Envelope
	s.withTracker(func(tracker *quarantine.Tracker, now time.Time) { envelopes = tracker.Tick(now) })
	return envelopes
}

// computeFingerprints returns the fingerprints of everything in the request that could crash targets: the whole request, and each part of
// the prompt that requests of other sessions may share.
func (x *exchange) computeFingerprints() []uint64 {
	shared := x.info.SharedParts()
	fingerprints := make([]uint64, 0, 1+len(shared))
	digest := xxhash.New()
	for _, text := range []string{x.r.Method, x.r.RequestURI, x.customer} {
		_, _ = digest.WriteString(text + "\x00") // A digest accepts any text.
	}
	_, _ = digest.Write(x.body)
	fingerprints = append(fingerprints, digest.Sum64())
	for _, part := range shared {
		fingerprints = append(fingerprints, part.ID)
	}
	return fingerprints
}
