package pool

import (
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
)

// neighbour is another pool of the same model that gets this pool's summaries.
type neighbour struct {
	pool string
	host string
	far  bool
}

// neighbours returns the pools that get a pool's summaries: in its own region those at distances 1, 2, 4 and so on
// around the ring of the region's pools, which is all of them while there are few, and two in each other region.
// Summaries to all pools would grow with their square.
func neighbours(view membership.View, pool membership.Pool) []neighbour {
	region := view.PoolRegion(pool)
	rings := make(map[string][]membership.Pool)
	var regions []string
	for _, other := range view.Pools(pool.Model) {
		name := view.PoolRegion(other)
		if rings[name] == nil {
			regions = append(regions, name)
		}
		rings[name] = append(rings[name], other)
	}
	at := 0
	for i, other := range rings[region] {
		if other == pool {
			at = i
		}
	}
	var out []neighbour
	for _, name := range regions {
		for _, other := range chosen(rings[name], at, name == region) {
			if other != pool {
				out = append(out, neighbour{pool: other.String(), host: view.Scheduler(other), far: name != region})
			}
		}
	}
	return out
}

// fewPools is the number of pools of one region up to which all are neighbours.
const fewPools = 8

// chosen returns the neighbours on one ring, seen from a position.
func chosen(ring []membership.Pool, at int, own bool) []membership.Pool {
	if own && len(ring) <= fewPools || len(ring) <= 2 {
		return ring
	}
	if !own {
		return []membership.Pool{ring[at%len(ring)], ring[(at+1)%len(ring)]}
	}
	seen := make(map[int]bool)
	var out []membership.Pool
	for step := 1; step < len(ring); step *= 2 {
		for _, i := range []int{(at + step) % len(ring), (at + len(ring) - step) % len(ring)} {
			if !seen[i] {
				seen[i] = true
				out = append(out, ring[i])
			}
		}
	}
	return out
}

// notice is the last summary that a neighbour got.
type notice struct {
	at      time.Time
	waiting bool
}

// earlyParts is the part of a period after which a neighbour is told early that requests have begun to wait.
const earlyParts = 5

// due reports whether a neighbour gets a summary: in each period as long as something waits, once after that, and early
// when requests begin to wait that the neighbour would lend slots to.
func (s *schedule) due(now time.Time, to neighbour) bool {
	period, worth := s.near, true
	if to.far {
		period, worth = s.far, expectedWait(s.estimated, s.meter.rate) > farWait
	}
	last, waiting := s.told[to.pool], len(s.demands) > 0
	if waiting && !last.waiting && worth {
		period /= earlyParts
	}
	return (waiting || last.waiting) && !now.Before(last.at.Add(period))
}

// summarise tells neighbours how much waits here and how far behind the waiting customers are.
func (s *schedule) summarise(now time.Time, out *outbox, neighbours []neighbour) {
	if s.orphan {
		return
	}
	for _, to := range neighbours {
		if _, connected := out.sessions[to.host]; !connected || !s.due(now, to) {
			continue
		}
		s.told[to.pool] = notice{at: now, waiting: len(s.demands) > 0}
		summary := &fleetpb.Summary{
			Pool:    s.name,
			Region:  s.region,
			Waiting: uint32(len(s.demands)),
			Free:    uint32(s.free(now)),
			Rate:    s.meter.rate,
			Backlog: s.estimated,
		}
		out.send(to.host, &fleetpb.Body{Kind: &fleetpb.Body_Summary{Summary: summary}})
		if level, found := s.lowest(); found {
			out.send(to.host, s.levelReport(level))
		}
	}
}

// levelReport tells another scheduler the lowest counter of the customers that are backlogged here: a report with the
// account of customer zero, which no configuration issues.
func (s *schedule) levelReport(level uint64) *fleetpb.Body {
	report := &fleetpb.Report{
		Model:    s.pool.Model,
		Source:   s.name,
		Accounts: []*fleetpb.Account{{Floor: level}},
	}
	return &fleetpb.Body{Kind: &fleetpb.Body_Report{Report: report}}
}

// free returns the number of free slots for long classes.
func (s *schedule) free(now time.Time) int {
	free := 0
	for _, row := range s.targets {
		free += row.spare(now, false, s.limited())
	}
	return free
}

// markLimit is the number of backlogged customers whose totals are asked for in one period. It bounds the traffic, and is
// more than the number of grants that one scheduler makes in a period: 73 requests/s are 18 in 250 ms.
const markLimit = 32

// mark asks the shard owners for the totals of the backlogged customers with the lowest counters. Counters only grow, so
// a customer whose counter is high without its newest total is not served too early.
func (s *schedule) mark(now time.Time) {
	if now.Before(s.markAt) {
		return
	}
	s.markAt = now.Add(s.near)
	first := make([]*backlog, 0, len(s.backlogs))
	for _, row := range s.backlogs {
		row.counter = s.ledger.Counter(row.customer)
		first = append(first, row)
	}
	if len(first) > markLimit {
		slices.SortFunc(first, compareBacklogs)
		first = first[:markLimit]
	}
	for _, row := range first {
		s.ledger.Mark(row.customer)
	}
}
