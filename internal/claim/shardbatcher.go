package claim

import (
	"errors"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/cursor"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

// maxBackoffShift is the maximum number of times that the pause after failed appends is doubled, so that it does not overflow.
const maxBackoffShift = 16

// shardBatcher is the part of a Batcher for the claim stream of one shard.
type shardBatcher struct {
	limits Limits
	stream string
	// owned is set while the view assigns the shard to this router.
	owned  bool
	cursor *cursor.Cursor
	keys   *KeyTable
	// pending holds the requests without an answer. queue holds the same ones in the order of arrival, and those that were
	// answered since the last cleanQueue.
	pending map[appendRequestKey]*appendRequest
	queue   []*appendRequest
	// inFlight maps the ids of the appends without a result to their batches.
	inFlight map[uint64][]*appendRequest
	// failedAppends counts the failed appends since the last successful one.
	failedAppends int
	// nextAppendAt is the earliest time of the next append.
	nextAppendAt time.Time
	// lastEmptyBatchAt is the time at which the last empty batch was appended.
	lastEmptyBatchAt time.Time
	// replies are the verdicts that the next Tick of the Batcher returns.
	replies []message.Envelope
}

// newShardBatcher returns the batcher of a shard that the router does not own yet.
func newShardBatcher(index int, limits Limits) *shardBatcher {
	shard := &shardBatcher{
		limits:   limits,
		stream:   StreamName(index),
		pending:  make(map[appendRequestKey]*appendRequest),
		inFlight: make(map[uint64][]*appendRequest),
	}
	shard.reset()
	return shard
}

// reset discards the state that was read from the stream.
func (s *shardBatcher) reset() {
	s.cursor = cursor.New(s.stream)
	s.keys = NewKeyTable(s.limits)
}

// setOwned takes over the shard or gives it up. Pending requests are kept, since a requester that does not notice that the
// shard was given up and taken over again does not repeat its claim.
func (s *shardBatcher) setOwned(owned bool) {
	if s.owned != owned {
		s.owned = owned
		s.reset()
	}
}

// submit adds a request, or answers it at once if possible. If the same request is pending already, only its requester is
// replaced.
func (s *shardBatcher) submit(now time.Time, requester string, record Record) {
	request := &appendRequest{record: record, requester: requester, nextAppendAt: now}
	if existing := s.pending[request.key()]; existing != nil {
		existing.requester = requester
		return
	}
	if s.isReady() && s.answerIfKnown(now, request) {
		return
	}
	s.pending[request.key()] = request
	s.queue = append(s.queue, request)
}

// isReady reports whether this router owns the shard and has read its stream to the end.
func (s *shardBatcher) isReady() bool { return s.owned && s.cursor.ReachedEnd() }

// answerIfKnown answers a request if the key table determines the answer, and reports whether it did.
func (s *shardBatcher) answerIfKnown(now time.Time, request *appendRequest) bool {
	if request.record.Kind != KindClaim {
		if !s.keys.IsStored(request.record) {
			return false
		}
		s.answerAndRemove(request, &fleetpb.ClaimVerdict{
			Claim: request.record.ClaimID, Key: request.record.Key[:], State: fleetpb.ClaimState_CLAIM_STATE_STORED,
		})
		return true
	}
	verdict, known := s.keys.Classify(now, request.record)
	if known {
		s.answerAndRemove(request, verdict)
	}
	return known
}

// answerAndRemove answers a request and removes it.
func (s *shardBatcher) answerAndRemove(request *appendRequest, verdict *fleetpb.ClaimVerdict) {
	s.queueReply(request.requester, verdict)
	s.remove(request)
}

// queueReply queues a verdict to a router.
func (s *shardBatcher) queueReply(to string, verdict *fleetpb.ClaimVerdict) {
	body := &fleetpb.Body{Kind: &fleetpb.Body_ClaimVerdict{ClaimVerdict: verdict}}
	s.replies = append(s.replies, message.Envelope{To: to, Body: body})
}

// remove removes a request from pending. The next cleanQueue removes it from queue.
func (s *shardBatcher) remove(request *appendRequest) { delete(s.pending, request.key()) }

// applyPage applies the new records of a page and answers the requests whose records it contains.
func (s *shardBatcher) applyPage(now time.Time, page external.Page) {
	records, lost := s.cursor.Advance(page)
	switch {
	case lost && len(records) > 0:
		s.keys.MarkLost(records[0].AppendedAt)
	case lost:
		// No record is left that bounds the age of the lost ones.
		s.keys.MarkLost(now)
	}
	for _, record := range records {
		for _, applied := range s.keys.Apply(record) {
			s.handleReadBack(now, applied)
		}
	}
}

// handleReadBack answers the request whose record was read. A record that was ignored leaves no trace in the key table, so the
// request is answered even if the table does not determine the answer.
func (s *shardBatcher) handleReadBack(now time.Time, applied Record) {
	request := s.pending[appendRequestKey{claimID: applied.ClaimID, kind: applied.Kind}]
	if request == nil || s.answerIfKnown(now, request) {
		return
	}
	state := fleetpb.ClaimState_CLAIM_STATE_STORED
	if applied.Kind == KindClaim {
		state = fleetpb.ClaimState_CLAIM_STATE_UNKNOWN
	}
	s.answerAndRemove(request, &fleetpb.ClaimVerdict{Claim: applied.ClaimID, Key: applied.Key[:], State: state})
}

// handleAppendResult handles the result of an append, see Batcher.Appended.
func (s *shardBatcher) handleAppendResult(now time.Time, id uint64, err error) {
	batch := s.inFlight[id]
	delete(s.inFlight, id)
	var unsettled *external.UnsettledError
	batchMayBeInLog := err == nil || errors.As(err, &unsettled)
	for _, request := range batch {
		request.inFlight = false
		request.nextAppendAt = now.Add(s.limits.RetryInterval)
		request.mayBeInLog = request.mayBeInLog || batchMayBeInLog
		if !batchMayBeInLog {
			s.refuseIfNotInLog(request)
		}
	}
	if err == nil {
		s.failedAppends = 0
		return
	}
	s.nextAppendAt = now.Add(min(s.limits.MinAppendInterval<<min(s.failedAppends, maxBackoffShift), s.limits.RetryInterval))
	s.failedAppends++
}

// refuseIfNotInLog refuses a pending claim as unavailable if its record certainly is not in the log and will not be.
func (s *shardBatcher) refuseIfNotInLog(request *appendRequest) {
	if request.record.Kind != KindClaim || request.inFlight || request.mayBeInLog || s.pending[request.key()] != request {
		return
	}
	s.answerAndRemove(request, &fleetpb.ClaimVerdict{
		Claim: request.record.ClaimID, Key: request.record.Key[:], State: fleetpb.ClaimState_CLAIM_STATE_UNAVAILABLE,
	})
}

// tick returns the data of an append with the given id, or nil if there is nothing to append now. If memoryFull is set, it
// refuses the claims that certainly are not in the log.
func (s *shardBatcher) tick(now time.Time, id uint64, memoryFull bool) []byte {
	s.cleanQueue(now, memoryFull)
	if !s.isReady() || now.Before(s.nextAppendAt) || len(s.inFlight) >= s.limits.MaxInFlightAppends || s.cursor.FailingFor(now, 0) {
		return nil
	}
	batch := s.nextBatch(now)
	if len(batch) == 0 && !s.startEmptyBatch(now) {
		return nil
	}
	records := make([]Record, len(batch))
	for i, request := range batch {
		request.inFlight = true
		records[i] = request.record
	}
	s.inFlight[id] = batch
	s.nextAppendAt = now.Add(s.limits.MinAppendInterval)
	return EncodeBatch(records)
}

// startEmptyBatch reports whether an empty batch must be appended now, and records that it is. If all records of a stream have
// expired in the log, the next router that takes over the shard cannot tell how old they were and refuses keys of the last
// seconds; empty batches keep a recent record in the stream. The minimum time between them keeps them from filling a log whose
// clock is far behind.
func (s *shardBatcher) startEmptyBatch(now time.Time) bool {
	if len(s.inFlight) > 0 || now.Sub(s.keys.LastRecordTime()) <= s.limits.Window/2 ||
		now.Sub(s.lastEmptyBatchAt) <= s.limits.Window/4 {
		return false
	}
	s.lastEmptyBatchAt = now
	return true
}

// cleanQueue removes obsolete requests, and refuses claims that are not in the log while the log cannot be read or memory is
// full.
func (s *shardBatcher) cleanQueue(now time.Time, memoryFull bool) {
	refuseClaims := s.owned && (memoryFull || s.cursor.FailingFor(now, s.limits.ReadFailureGrace))
	for _, request := range s.queue {
		if s.isObsolete(now, request) {
			s.remove(request)
		} else if refuseClaims {
			s.refuseIfNotInLog(request)
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(r *appendRequest) bool { return s.pending[r.key()] != r })
}

// isObsolete reports whether no answer to a request is needed any more, because the deadline of the claim has passed or the key
// is older than Limits.Window. While this router does not own the shard, answers and releases are obsolete too, since their
// requesters repeat them; claims are not repeated.
func (s *shardBatcher) isObsolete(now time.Time, request *appendRequest) bool {
	if request.record.Kind == KindClaim && now.UnixMilli() > request.record.DeadlineUnixMilli {
		return true
	}
	if request.record.Kind != KindClaim && !s.owned {
		return true
	}
	return now.UnixMilli() > KeyUnixMilli(request.record.Key)+s.limits.Window.Milliseconds()
}

// nextBatch returns the requests of the next append, and answers those that the key table determines by now. A request that
// may be in the log is only answered once its record is read back: otherwise a late copy of an answered claim could hold the
// key afterwards.
func (s *shardBatcher) nextBatch(now time.Time) []*appendRequest {
	var batch []*appendRequest
	size := 0
	for _, request := range s.queue {
		if request.inFlight || request.nextAppendAt.After(now) || !request.mayBeInLog && s.answerIfKnown(now, request) {
			continue
		}
		requestBytes := len(request.record.Answer) + maxClaimIDBytes
		if size > 0 && size+requestBytes > s.limits.MaxBatchBytes {
			break
		}
		size += requestBytes
		batch = append(batch, request)
	}
	return batch
}
