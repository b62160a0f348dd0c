package pool

import "time"

// summaryTTL is the age from which the summary of another pool is ignored.
const summaryTTL = 3 * time.Second

// minCrossRegionWait is the expected wait that the waiting requests of a pool must exceed before slots are lent to it across
// regions.
const minCrossRegionWait = 250 * time.Millisecond

// peerPool is the state of another pool according to its last summary and report, less the slots lent to it since.
type peerPool struct {
	pool  string
	model string
	// host is the router that schedules the pool.
	host   string
	region string
	// waiting is the number of waiting requests.
	waiting int
	// rate is the service of the pool in milli-units per second.
	rate uint64
	// backlog is the estimated service of the waiting requests in milli-units.
	backlog uint64
	// lowestCounter is the lowest service counter of the pool's customers with waiting requests, zero if it is not known.
	lowestCounter uint64
	// receivedAt is the time at which the last summary arrived.
	receivedAt time.Time
}

// meanEstimate returns the mean expected service of a waiting request in milli-units, zero if none waits.
func (p *peerPool) meanEstimate() uint64 {
	if p.waiting == 0 {
		return 0
	}
	return p.backlog / uint64(p.waiting)
}

// wantsSlots reports whether a scheduler in the given region should lend slots to the pool: requests wait, the summary is recent,
// and for another region the expected wait is long enough.
func (p *peerPool) wantsSlots(now time.Time, region string) bool {
	if p.waiting == 0 || now.Sub(p.receivedAt) > summaryTTL {
		return false
	}
	return p.region == region || expectedWait(p.backlog, p.rate) > minCrossRegionWait
}

// expectedWait returns how long a backlog in milli-units takes at a rate in milli-units per second. It is an hour if the rate is
// zero.
func expectedWait(backlog, rate uint64) time.Duration {
	if rate == 0 {
		return time.Hour
	}
	return time.Duration(float64(backlog) / float64(rate) * float64(time.Second))
}

// recordLent updates the state for one slot lent to the pool: one of its requests no longer counts as waiting, and the lowest
// counter grows by the expected service of that request.
func (p *peerPool) recordLent() {
	mean := p.meanEstimate()
	p.waiting--
	p.backlog -= min(mean, p.backlog)
	if p.lowestCounter > 0 {
		p.lowestCounter += mean
	}
}
