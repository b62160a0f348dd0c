package pool

import "time"

// Occupancy returns the known occupancy of the targets that this router schedules, by name.
func (s *Scheduler) Occupancy(now time.Time) map[string]int {
	occupied := make(map[string]int)
	for _, row := range s.sorted() {
		for _, listed := range row.targets {
			occupied[listed.name] = listed.occupied(now)
		}
	}
	return occupied
}

// FairnessGap returns the largest difference of the counters of two customers that are backlogged in the same pool, in weighted
// milli-units.
func (s *Scheduler) FairnessGap() uint64 {
	var gap uint64
	for _, row := range s.sorted() {
		counters := row.ledger.Counters()
		low, high, first := uint64(0), uint64(0), true
		for customer := range row.backlogs {
			counter := counters[customer]
			if first {
				low, high, first = counter, counter, false
			}
			low, high = min(low, counter), max(high, counter)
		}
		gap = max(gap, high-low)
	}
	return gap
}
