package pool

import (
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// earlySummaryDivisor divides the period of summaries for the first summary after requests have begun to wait.
const earlySummaryDivisor = 5

// crossRegionSummariesPerPeriod is the number of summaries to another region in one period of the reports to it.
const crossRegionSummariesPerPeriod = 2

// summaryDue reports whether to send a summary to a neighbour now. Summaries are sent once per period while requests wait, and
// once more after the last one was granted. The first one is sent early if the neighbour would lend slots for the requests.
func (s *poolScheduler) summaryDue(now time.Time, to neighbour) bool {
	period, wouldLend := s.regionPeriod, true
	if to.crossRegion {
		// Old summaries widen the fairness gap more than old totals do, and summaries are smaller, so they are sent more often.
		period, wouldLend = s.crossRegionPeriod/crossRegionSummariesPerPeriod,
			expectedWait(s.waitingUnits, s.meter.rate) > minCrossRegionWait
	}
	last, waiting := s.lastSummaries[to.pool], len(s.demands) > 0
	if waiting && !last.waiting && wouldLend {
		period /= earlySummaryDivisor
	}
	return (waiting || last.waiting) && !now.Before(last.sentAt.Add(period))
}

// sendSummaries sends the due summaries to connected neighbours, each with the lowest service counter of the waiting customers.
// A pool that the view does not assign to this router sends none.
func (s *poolScheduler) sendSummaries(now time.Time, out *outbox, neighbours []neighbour) {
	if s.unassigned {
		return
	}
	for _, to := range neighbours {
		if _, connected := out.sessions[to.host]; !connected || !s.summaryDue(now, to) {
			continue
		}
		s.lastSummaries[to.pool] = sentSummary{sentAt: now, waiting: len(s.demands) > 0}
		summary := &fleetpb.Summary{
			Pool:    s.name,
			Region:  s.region,
			Waiting: uint32(len(s.demands)),
			Free:    uint32(s.freeLongSlots(now)),
			Rate:    s.meter.rate,
			Backlog: s.waitingUnits,
		}
		out.addUnbatched(to.host, &fleetpb.Body{Kind: &fleetpb.Body_Summary{Summary: summary}})
		if counter, found := s.lowestCounter(); found {
			out.addUnbatched(to.host, s.counterReport(counter))
		}
	}
}

// counterReport returns the message that tells another scheduler the lowest service counter of the customers with waiting
// requests. It is a Report with a single account of customer zero, a number that no configuration assigns.
func (s *poolScheduler) counterReport(counter uint64) *fleetpb.Body {
	report := &fleetpb.Report{
		Model:    s.pool.Model,
		Source:   s.name,
		Accounts: []*fleetpb.Account{{Floor: counter}},
	}
	return &fleetpb.Body{Kind: &fleetpb.Body_Report{Report: report}}
}

// freeLongSlots returns the number of free slots that requests of long classes may use.
func (s *poolScheduler) freeLongSlots(now time.Time) int {
	free := 0
	for _, t := range s.targets {
		free += t.freeSlots(now, false, s.hasPartialView())
	}
	return free
}

// maxRequestedTotals is the largest number of customers with waiting requests whose totals are requested in one period. It
// bounds the traffic. It is more than the number of grants that one scheduler makes in a period: 73 requests/s are 18 in 250 ms.
const maxRequestedTotals = 32

// requestTotals asks the shard owners for the totals of the customers with waiting requests that have the lowest service
// counters. Counters only grow, so a customer whose known counter is already high cannot be served too early for lack of a
// newer total.
func (s *poolScheduler) requestTotals(now time.Time) {
	if now.Before(s.nextTotalsRequest) {
		return
	}
	s.nextTotalsRequest = now.Add(s.regionPeriod)
	queues := make([]*customerQueue, 0, len(s.queues))
	for _, queue := range s.queues {
		queue.counter = s.ledger.Counter(queue.customer)
		queues = append(queues, queue)
	}
	if len(queues) > maxRequestedTotals {
		slices.SortFunc(queues, compareByCounter)
		queues = queues[:maxRequestedTotals]
	}
	for _, queue := range queues {
		s.ledger.RequestTotal(queue.customer)
	}
}
