package pool

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// sync replaces everything that is known of an entry router. Runs of the entry router's former incarnation stay: their
// requests may still be on the targets.
func (s *schedule) sync(now time.Time, from string, incarnation uint64, state *fleetpb.Sync) {
	s.dropEntry(from)
	listed := make(map[uint64]bool, len(state.GetRuns()))
	for _, run := range state.GetRuns() {
		listed[run.GetGrant()] = true
	}
	for _, r := range s.runsWhere(func(r *run) bool {
		return r.key.entry == from && r.incarnation == incarnation && !listed[r.key.grant]
	}) {
		if r.started {
			s.end(now, r, r.units)
		} else {
			s.end(now, r, 0)
		}
	}
	for _, run := range state.GetRuns() {
		s.resume(from, incarnation, run)
	}
	s.announce(from, state.GetDemands())
}

// resume enters a run that an entry router reports in a new session. Its charge was counted by the scheduler that
// granted it.
func (s *schedule) resume(from string, incarnation uint64, state *fleetpb.Run) {
	key := runKey{entry: from, grant: state.GetGrant()}
	r, known := s.runs[key]
	if known && r.request != state.GetRequest() {
		return
	}
	if !known {
		r = &run{
			key:      key,
			request:  state.GetRequest(),
			customer: state.GetCustomer(),
			target:   state.GetTarget(),
			weight:   s.weight(state.GetCustomer()),
			units:    state.GetCharged(),
			of:       kind{apart: state.GetApart(), short: !state.GetLong()},
		}
		r.paid = r.units / r.weight
		s.start(r)
	}
	r.incarnation, r.started, r.lost = incarnation, true, time.Time{}
	s.progress(r, state.GetServed())
}

// announce adds waiting requests.
func (s *schedule) announce(from string, demands []*fleetpb.Demand) {
	for _, d := range demands {
		s.add(newDemand(from, d))
	}
}

// progress charges service beyond what was charged before.
func (s *schedule) progress(r *run, units uint64) {
	r.started = true
	if units > r.units {
		s.correct(r, units)
	}
}

// finish takes over ends of runs. An end that is not known, because it is repeated or of a former scheduler, changes
// nothing.
func (s *schedule) finish(now time.Time, from string, finish *fleetpb.Finish) {
	for _, ended := range finish.GetRuns() {
		if ended.GetTarget() != "" {
			s.returned(now, ended)
			continue
		}
		if r, ok := s.runs[runKey{entry: from, grant: ended.GetGrant()}]; ok {
			s.end(now, r, ended.GetUnits())
		}
	}
}

// disconnect drops the demand of an entry router that went away and marks its runs as lost.
func (s *schedule) disconnect(now time.Time, peer string) {
	s.dropEntry(peer)
	for _, r := range s.runs {
		if r.key.entry == peer && r.lost.IsZero() {
			r.lost = now
		}
	}
	kept := s.borrowed[:0]
	for _, b := range s.borrowed {
		if b.owner != peer {
			kept = append(kept, b)
		}
	}
	s.borrowed = kept
}
