package config

import (
	"errors"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/message"
)

// pendingChange is a published change whose outcome is not known yet.
type pendingChange struct {
	ticket   uint64
	change   Change
	hash     uint64
	deadline time.Time
}

// Publish starts to publish a change and returns its ticket. A later Tick returns the result with the same ticket.
//
// A change that every reader of the log would reject is not appended: one that is invalid, that has already taken effect,
// or whose base is below the current version. A change whose base is above the current version is appended, since the
// store may be behind the log.
func (s *Store) Publish(now time.Time, change Change) (ticket uint64) {
	s.recordStart(now)
	s.lastID++
	p := &pendingChange{ticket: s.lastID, change: change, hash: change.hash(), deadline: now.Add(s.publishTimeout)}
	err := s.state.validate(change)
	var repeated *RepeatedError
	var invalid *InvalidError
	switch {
	case errors.As(err, &repeated):
		s.queueResult(Result{Ticket: p.ticket, Outcome: OutcomeRepeated, Version: repeated.Version})
	case errors.As(err, &invalid):
		s.queueResult(Result{Ticket: p.ticket, Outcome: OutcomeInvalid, Version: s.state.version, Faults: invalid.Faults})
	case change.Base < s.state.version && !s.settleIfSuperseded(p):
		s.queueResult(Result{Ticket: p.ticket, Outcome: OutcomeUnsettled, Version: s.state.version})
	case change.Base >= s.state.version:
		s.pending = append(s.pending, p)
		data := Record{Change: &change}.Encode()
		s.appends = append(s.appends, message.Append{ID: p.ticket, Stream: Stream, Data: data})
	}
	return p.ticket
}

// Appended handles the result of an append that Tick has returned. Only an error that says that the append had no effect
// settles a published change. All others are settled when their record is read back from the log.
func (s *Store) Appended(now time.Time, id uint64, err error) {
	s.recordStart(now)
	if id == s.schedule.appendID {
		s.schedule.appendEnded(now)
		return
	}
	var unsettled *external.UnsettledError
	if err == nil || errors.As(err, &unsettled) {
		return
	}
	s.settleWhere(func(p *pendingChange) (Result, bool) {
		return Result{Outcome: OutcomeUnavailable, Version: s.state.version}, p.ticket == id
	})
}

// settleFromState settles the published changes whose outcome follows from the current state.
func (s *Store) settleFromState() {
	s.settleWhere(func(p *pendingChange) (Result, bool) {
		if accepted, known := s.state.AcceptedChange(p.change.ID); known && accepted.Hash == p.hash {
			return Result{Outcome: OutcomePublished, Version: accepted.Version}, true
		}
		return Result{Outcome: OutcomeStale, Version: s.state.version}, s.isSuperseded(p.change.Base)
	})
}

// settleIfSuperseded settles a change that is not pending as stale if it can never take effect, and reports whether it
// did.
func (s *Store) settleIfSuperseded(p *pendingChange) bool {
	if !s.isSuperseded(p.change.Base) {
		return false
	}
	s.queueResult(Result{Ticket: p.ticket, Outcome: OutcomeStale, Version: s.state.version})
	return true
}

// isSuperseded reports whether it is certain that a change with the given base which is not among the accepted ones did
// not take effect and never will. The base must be below the current version, and by no more than MaxAcceptedIDs, since
// older accepted changes are forgotten.
func (s *Store) isSuperseded(base uint64) bool {
	return base < s.state.version && s.state.version-base <= MaxAcceptedIDs
}

// settleFromRecord settles the published changes whose own record was read from the log and had no effect; err says why.
func (s *Store) settleFromRecord(change Change, err error) {
	if err == nil || len(s.pending) == 0 {
		return
	}
	hash := change.hash()
	s.settleWhere(func(p *pendingChange) (Result, bool) {
		var repeated *RepeatedError
		var invalid *InvalidError
		result := Result{Outcome: OutcomeStale, Version: s.state.version}
		switch {
		case errors.As(err, &repeated):
			result = Result{Outcome: OutcomePublished, Version: repeated.Version}
		case errors.As(err, &invalid):
			result = Result{Outcome: OutcomeInvalid, Version: s.state.version, Faults: invalid.Faults}
		}
		return result, p.change.ID == change.ID && p.hash == hash
	})
}

// expirePending settles the published changes whose outcome did not become known in time.
func (s *Store) expirePending(now time.Time) {
	s.settleWhere(func(p *pendingChange) (Result, bool) {
		return Result{Outcome: OutcomeUnsettled, Version: s.state.version}, !now.Before(p.deadline)
	})
}

// settleWhere settles the published changes for which outcome returns true, with the result that it returns.
func (s *Store) settleWhere(outcome func(*pendingChange) (Result, bool)) {
	s.pending = slices.DeleteFunc(s.pending, func(p *pendingChange) bool {
		result, settled := outcome(p)
		if settled {
			result.Ticket = p.ticket
			s.queueResult(result)
		}
		return settled
	})
}

// queueResult queues a result that the next Tick returns.
func (s *Store) queueResult(result Result) { s.results = append(s.results, result) }
