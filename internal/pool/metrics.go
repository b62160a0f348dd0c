package pool

import "time"

// Occupancy returns the number of occupied slots, as far as it is known, of each target that this router schedules, by name of
// the target.
func (s *Scheduler) Occupancy(now time.Time) map[string]int {
	occupancy := make(map[string]int)
	for _, ps := range s.sortedPools() {
		for _, t := range ps.targets {
			occupancy[t.name] = t.occupancy(now)
		}
	}
	return occupancy
}

// FairnessGap returns the largest difference between the service counters of two customers with waiting requests in the same
// pool, in weighted milli-units.
func (s *Scheduler) FairnessGap() uint64 {
	var gap uint64
	for _, ps := range s.sortedPools() {
		counters := ps.ledger.Counters()
		low, high, first := uint64(0), uint64(0), true
		for customer := range ps.queues {
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
