package pool

import (
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// earlyParts is the part of a period after which a neighbour is told early that requests have begun to wait.
const earlyParts = 5

// summaryParts is the number of summaries to another region in one period of the exchange of totals.
const summaryParts = 2

// due reports whether a neighbour gets a summary: in each period as long as something waits, once after that, and early
// when requests begin to wait that the neighbour would lend slots to.
func (s *schedule) due(now time.Time, to neighbour) bool {
	period, worth := s.near, true
	if to.far {
		// The age of summaries decides the fairness gap more than that of totals, and summaries are smaller.
		period, worth = s.far/summaryParts, expectedWait(s.estimated, s.meter.rate) > farWait
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
