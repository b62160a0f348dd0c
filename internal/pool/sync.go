package pool

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// applySync replaces the demands and runs of an entry router by those that it reports. Runs of the entry router's earlier
// incarnations are kept, because their requests may still be on the targets.
func (s *poolScheduler) applySync(now time.Time, from string, incarnation uint64, state *fleetpb.Sync) {
	s.removeDemandsOf(from)
	listed := make(map[uint64]bool, len(state.GetRuns()))
	for _, run := range state.GetRuns() {
		listed[run.GetGrant()] = true
	}
	for _, r := range s.runsWhere(func(r *run) bool {
		return r.key.entry == from && r.incarnation == incarnation && !listed[r.key.grant]
	}) {
		if r.started {
			s.endRun(now, r, r.charged)
		} else {
			s.endRun(now, r, 0)
		}
	}
	for _, run := range state.GetRuns() {
		s.restoreRun(from, incarnation, run)
	}
	s.addDemands(from, state.GetDemands())
}

// restoreRun records a run that an entry router reports in a new session. Only service beyond the reported charge is charged to
// the customer, because the scheduler that granted the run has already counted that charge.
func (s *poolScheduler) restoreRun(from string, incarnation uint64, state *fleetpb.Run) {
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
			charged:  state.GetCharged(),
			attrs:    runAttributes{suspect: state.GetApart(), short: !state.GetLong()},
		}
		r.weightedCharge = r.charged / r.weight
		s.addRun(r)
	}
	r.incarnation, r.started, r.lostAt = incarnation, true, time.Time{}
	s.recordProgress(r, state.GetServed())
}

// addDemands adds the waiting requests that an entry router announces.
func (s *poolScheduler) addDemands(from string, demands []*fleetpb.Demand) {
	for _, d := range demands {
		s.addDemand(newDemand(from, d))
	}
}

// recordProgress marks a run as started and charges the customer with its service so far, in milli-units, if that exceeds the
// charge.
func (s *poolScheduler) recordProgress(r *run, units uint64) {
	r.started = true
	if units > r.charged {
		s.adjustCharge(r, units)
	}
}

// applyFinish ends runs and takes back lent slots. The end of an unknown run is ignored: it may be repeated, or be for a run that
// an earlier scheduler granted.
func (s *poolScheduler) applyFinish(now time.Time, from string, finish *fleetpb.Finish) {
	for _, ended := range finish.GetRuns() {
		if ended.GetTarget() != "" {
			s.takeBackSlot(now, ended)
			continue
		}
		if r, ok := s.runs[runKey{entry: from, grant: ended.GetGrant()}]; ok {
			s.endRun(now, r, ended.GetUnits())
		}
	}
}

// disconnectRouter drops the demands of a disconnected router and the slots borrowed from it, and marks its runs as lost.
func (s *poolScheduler) disconnectRouter(now time.Time, router string) {
	s.removeDemandsOf(router)
	for _, r := range s.runs {
		if r.key.entry == router && r.lostAt.IsZero() {
			r.lostAt = now
		}
	}
	remaining := s.borrowed[:0]
	for _, b := range s.borrowed {
		if b.owner != router {
			remaining = append(remaining, b)
		}
	}
	s.borrowed = remaining
}
