package pool

import "time"

// peerLife is the age at which a summary of another pool is no longer used.
const peerLife = 3 * time.Second

// farWait is the expected wait of a backlog from which slots are lent to it across regions.
const farWait = 250 * time.Millisecond

// peer is what is known of another pool of the same model.
type peer struct {
	pool    string
	model   string
	host    string
	region  string
	waiting int
	rate    uint64
	backlog uint64
	// level is the lowest counter of the pool's backlogged customers, zero if it is not known.
	level uint64
	heard time.Time
}

// mean returns the expected service of one waiting request.
func (p *peer) mean() uint64 {
	if p.waiting == 0 {
		return 0
	}
	return p.backlog / uint64(p.waiting)
}

// wants reports whether a pool of a region may lend a slot.
func (p *peer) wants(now time.Time, region string) bool {
	if p.waiting == 0 || now.Sub(p.heard) > peerLife {
		return false
	}
	return p.region == region || expectedWait(p.backlog, p.rate) > farWait
}

// expectedWait returns how long a backlog waits at a service rate.
func expectedWait(backlog, rate uint64) time.Duration {
	if rate == 0 {
		return time.Hour
	}
	return time.Duration(float64(backlog) / float64(rate) * float64(time.Second))
}

// lend notes that one slot was lent: the pool's backlog shrinks and its level grows.
func (p *peer) lend() {
	mean := p.mean()
	p.waiting--
	p.backlog -= min(mean, p.backlog)
	if p.level > 0 {
		p.level += mean
	}
}
