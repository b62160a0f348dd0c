package config

import (
	"errors"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/outside"
)

// pending is a published change whose outcome is not known.
type pending struct {
	ticket   uint64
	change   Change
	sum      uint64
	deadline time.Time
}

// Publish begins to publish a change and returns the ticket under which its result will be returned by Tick. A change
// that is refused at this store's version is refused by the fold as well, and is not appended.
func (s *Store) Publish(now time.Time, change Change) (ticket uint64) {
	s.start(now)
	s.last++
	p := &pending{ticket: s.last, change: change, sum: change.sum(), deadline: now.Add(s.patience)}
	err := s.state.check(change)
	var repeated *RepeatedError
	var invalid *InvalidError
	switch {
	case errors.As(err, &repeated):
		s.finish(Result{Ticket: p.ticket, Outcome: OutcomeRepeated, Version: repeated.Version})
	case errors.As(err, &invalid):
		s.finish(Result{Ticket: p.ticket, Outcome: OutcomeInvalid, Version: s.state.version, Faults: invalid.Faults})
	case change.Base < s.state.version && !s.settlePassed(p):
		s.finish(Result{Ticket: p.ticket, Outcome: OutcomeUnsettled, Version: s.state.version})
	case change.Base >= s.state.version:
		s.pending = append(s.pending, p)
		data := Record{Change: &change}.Encode()
		s.appends = append(s.appends, message.Append{ID: p.ticket, Stream: Stream, Data: data})
	}
	return p.ticket
}

// Appended takes the end of an append. Only an error that says that the append had no effect ends a published change;
// all others are settled by reading.
func (s *Store) Appended(now time.Time, id uint64, err error) {
	s.start(now)
	if id == s.schedule.sent {
		s.schedule.appended(now)
		return
	}
	var unsettled *outside.UnsettledError
	if err == nil || errors.As(err, &unsettled) {
		return
	}
	s.settleWhere(func(p *pending) (Result, bool) {
		return Result{Outcome: OutcomeUnavailable, Version: s.state.version}, p.ticket == id
	})
}

// settle ends the published changes whose outcome follows from the state.
func (s *Store) settle() {
	s.settleWhere(func(p *pending) (Result, bool) {
		if accepted, known := s.state.AcceptedChange(p.change.ID); known && accepted.Hash == p.sum {
			return Result{Outcome: OutcomePublished, Version: accepted.Version}, true
		}
		return Result{Outcome: OutcomeStale, Version: s.state.version}, s.passed(p.change.Base)
	})
}

// settlePassed ends a change whose base is certainly no longer current, and tells whether it did.
func (s *Store) settlePassed(p *pending) bool {
	if !s.passed(p.change.Base) {
		return false
	}
	s.finish(Result{Ticket: p.ticket, Outcome: OutcomeStale, Version: s.state.version})
	return true
}

// passed tells whether a change with the given base that is not among the accepted ones can never take effect and
// never did. The accepted changes are remembered for MaxAcceptedIDs versions only.
func (s *Store) passed(base uint64) bool {
	return base < s.state.version && s.state.version-base <= MaxAcceptedIDs
}

// settleFolded ends the published changes whose own record was folded without effect.
func (s *Store) settleFolded(change Change, err error) {
	if err == nil || len(s.pending) == 0 {
		return
	}
	sum := change.sum()
	s.settleWhere(func(p *pending) (Result, bool) {
		var repeated *RepeatedError
		var invalid *InvalidError
		result := Result{Outcome: OutcomeStale, Version: s.state.version}
		switch {
		case errors.As(err, &repeated):
			result = Result{Outcome: OutcomePublished, Version: repeated.Version}
		case errors.As(err, &invalid):
			result = Result{Outcome: OutcomeInvalid, Version: s.state.version, Faults: invalid.Faults}
		}
		return result, p.change.ID == change.ID && p.sum == sum
	})
}

// expire ends the published changes whose outcome did not become known in time.
func (s *Store) expire(now time.Time) {
	s.settleWhere(func(p *pending) (Result, bool) {
		return Result{Outcome: OutcomeUnsettled, Version: s.state.version}, !now.Before(p.deadline)
	})
}

// settleWhere ends the published changes for which outcome returns true.
func (s *Store) settleWhere(outcome func(*pending) (Result, bool)) {
	s.pending = slices.DeleteFunc(s.pending, func(p *pending) bool {
		result, ended := outcome(p)
		if ended {
			result.Ticket = p.ticket
			s.finish(result)
		}
		return ended
	})
}

// finish queues a result for the next tick.
func (s *Store) finish(result Result) { s.results = append(s.results, result) }
