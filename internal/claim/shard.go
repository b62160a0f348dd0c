package claim

import (
	"errors"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/cursor"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/outside"
)

// maxShift bounds the doubling of the pause between failing appends.
const maxShift = 16

// shard is the batcher of one claim stream.
type shard struct {
	limits Limits
	stream string
	owned  bool
	cursor *cursor.Cursor
	fold   *Fold
	// operations are the unanswered ones; queue has the same in the order in which they came.
	operations map[operationID]*operation
	queue      []*operation
	flights    map[uint64][]*operation
	// failures counts the appends without success since the last one with.
	failures int
	// next is the earliest instant of the next append.
	next time.Time
	// marked is the instant of the last empty record.
	marked  time.Time
	replies []message.Envelope
}

// newShard returns the shard of a router that does not own it.
func newShard(number int, limits Limits) *shard {
	shard := &shard{
		limits:     limits,
		stream:     StreamName(number),
		operations: make(map[operationID]*operation),
		flights:    make(map[uint64][]*operation),
	}
	shard.reset()
	return shard
}

// reset forgets what was read.
func (s *shard) reset() {
	s.cursor = cursor.New(s.stream)
	s.fold = NewFold(s.limits)
}

// own takes the role or leaves it. Unanswered requests are kept, since their askers need not notice that the role left
// and came back.
func (s *shard) own(owned bool) {
	if s.owned != owned {
		s.owned = owned
		s.reset()
	}
}

// ask takes a request. The same request from a later session replaces the asker.
func (s *shard) ask(now time.Time, from string, record Record) {
	asked := &operation{record: record, from: from, due: now}
	if known := s.operations[asked.id()]; known != nil {
		known.from = from
		return
	}
	if s.ready() && s.settle(now, asked) {
		return
	}
	s.operations[asked.id()] = asked
	s.queue = append(s.queue, asked)
}

// ready tells whether the fold is one of a stream that was read to its end.
func (s *shard) ready() bool { return s.owned && s.cursor.ReachedEnd() }

// settle answers an operation if the fold says enough, and tells whether it did.
func (s *shard) settle(now time.Time, asked *operation) bool {
	if asked.record.Kind != Claimed {
		if !s.fold.Stored(asked.record) {
			return false
		}
		s.answer(asked, &fleetpb.ClaimVerdict{
			Claim: asked.record.Claim, Key: asked.record.Key[:], State: fleetpb.ClaimState_CLAIM_STATE_STORED,
		})
		return true
	}
	verdict, known := s.fold.State(now, asked.record)
	if known {
		s.answer(asked, verdict)
	}
	return known
}

// answer replies to the asker and ends the operation.
func (s *shard) answer(asked *operation, verdict *fleetpb.ClaimVerdict) {
	s.reply(asked.from, verdict)
	s.drop(asked)
}

// reply queues a verdict.
func (s *shard) reply(to string, verdict *fleetpb.ClaimVerdict) {
	body := &fleetpb.Body{Kind: &fleetpb.Body_ClaimVerdict{ClaimVerdict: verdict}}
	s.replies = append(s.replies, message.Envelope{To: to, Body: body})
}

// drop ends an operation; the queue is cleaned in the next tick.
func (s *shard) drop(ended *operation) { delete(s.operations, ended.id()) }

// page folds records and answers the operations that they settle.
func (s *shard) page(now time.Time, page outside.Page) {
	records, lost := s.cursor.Advance(page)
	switch {
	case lost && len(records) > 0:
		s.fold.Lost(records[0].At)
	case lost:
		// Nothing is left to tell how new the lost records are.
		s.fold.Lost(now)
	}
	for _, record := range records {
		for _, folded := range s.fold.Apply(record) {
			s.readBack(now, folded)
		}
	}
}

// readBack answers the operation whose record was read. A record that is void leaves nothing in the fold, so the answer
// does not depend on the fold alone.
func (s *shard) readBack(now time.Time, folded Record) {
	asked := s.operations[operationID{claim: folded.Claim, kind: folded.Kind}]
	if asked == nil || s.settle(now, asked) {
		return
	}
	state := fleetpb.ClaimState_CLAIM_STATE_STORED
	if folded.Kind == Claimed {
		state = fleetpb.ClaimState_CLAIM_STATE_UNKNOWN
	}
	s.answer(asked, &fleetpb.ClaimVerdict{Claim: folded.Claim, Key: folded.Key[:], State: state})
}

// appended takes the result of an append.
func (s *shard) appended(now time.Time, id uint64, err error) {
	batch := s.flights[id]
	delete(s.flights, id)
	var unsettled *outside.UnsettledError
	mayStand := err == nil || errors.As(err, &unsettled)
	for _, asked := range batch {
		asked.flying = false
		asked.due = now.Add(s.limits.Repeat)
		asked.uncertain = asked.uncertain || mayStand
		if !mayStand {
			s.refuse(asked)
		}
	}
	if err == nil {
		s.failures = 0
		return
	}
	s.next = now.Add(min(s.limits.Join<<min(s.failures, maxShift), s.limits.Repeat))
	s.failures++
}

// refuse answers a claim that certainly is not in the log and will not be.
func (s *shard) refuse(asked *operation) {
	if asked.record.Kind != Claimed || asked.flying || asked.uncertain || s.operations[asked.id()] != asked {
		return
	}
	s.answer(asked, &fleetpb.ClaimVerdict{
		Claim: asked.record.Claim, Key: asked.record.Key[:], State: fleetpb.ClaimState_CLAIM_STATE_UNAVAILABLE,
	})
}

// tick returns the data of an append, or nil if there is nothing to append now. New claims are refused if memory is full.
func (s *shard) tick(now time.Time, id uint64, full bool) []byte {
	s.clean(now, full)
	if !s.ready() || now.Before(s.next) || len(s.flights) >= s.limits.Flights || s.cursor.FailingFor(now, 0) {
		return nil
	}
	batch := s.batch(now)
	if len(batch) == 0 && !s.idle(now) {
		return nil
	}
	records := make([]Record, len(batch))
	for i, asked := range batch {
		asked.flying = true
		records[i] = asked.record
	}
	s.flights[id] = batch
	s.next = now.Add(s.limits.Join)
	return EncodeBatch(records)
}

// idle tells whether the stream needs an empty record. A stream whose records have all expired tells its next batcher
// nothing of their age, and that one refuses the keys of the last seconds. The pause after each one keeps a log whose
// clock is far behind from being filled.
func (s *shard) idle(now time.Time) bool {
	if len(s.flights) > 0 || now.Sub(s.fold.Clock()) <= s.limits.Window/2 || now.Sub(s.marked) <= s.limits.Window/4 {
		return false
	}
	s.marked = now
	return true
}

// clean ends the operations that nobody waits for any more, and refuses claims while the log cannot be read or memory
// is full.
func (s *shard) clean(now time.Time, full bool) {
	refused := s.owned && (full || s.cursor.FailingFor(now, s.limits.Grace))
	for _, asked := range s.queue {
		if s.over(now, asked) {
			s.drop(asked)
		} else if refused {
			s.refuse(asked)
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(o *operation) bool { return s.operations[o.id()] != o })
}

// over tells whether nobody waits for an operation any more: the holder has given a claim up, or the key is past its
// window. Without the role only claims are kept, since their askers do not repeat them.
func (s *shard) over(now time.Time, asked *operation) bool {
	if asked.record.Kind == Claimed && now.UnixMilli() > asked.record.Deadline {
		return true
	}
	if asked.record.Kind != Claimed && !s.owned {
		return true
	}
	return now.UnixMilli() > KeyTime(asked.record.Key)+s.limits.Window.Milliseconds()
}

// batch takes the next operations to append, and answers those that the fold has settled in the meantime. A claim that
// may be in the log is not answered before it was read itself: otherwise a copy on the way could take the key later.
func (s *shard) batch(now time.Time) []*operation {
	var batch []*operation
	size := 0
	for _, asked := range s.queue {
		if asked.flying || asked.due.After(now) || !asked.uncertain && s.settle(now, asked) {
			continue
		}
		bytes := len(asked.record.Answer) + maxClaimBytes
		if size > 0 && size+bytes > s.limits.BatchBytes {
			break
		}
		size += bytes
		batch = append(batch, asked)
	}
	return batch
}
