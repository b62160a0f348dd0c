package pool

import (
	"cmp"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
)

// Receive handles a message of a peer. Messages of peers without a session, and kinds that are not for a scheduler, are ignored.
func (s *Scheduler) Receive(now time.Time, from string, body *fleetpb.Body) {
	incarnation, connected := s.sessions[from]
	if !connected {
		return
	}
	switch kind := body.GetKind().(type) {
	case *fleetpb.Body_Sync:
		if ps := s.lookupPool(now, kind.Sync.GetPool(), len(kind.Sync.GetDemands())+len(kind.Sync.GetRuns()) > 0); ps != nil {
			ps.applySync(now, from, incarnation, kind.Sync)
		}
	case *fleetpb.Body_Announce:
		if ps := s.lookupPool(now, kind.Announce.GetPool(), true); ps != nil {
			ps.addDemands(from, kind.Announce.GetDemands())
		}
	case *fleetpb.Body_Withdraw:
		if ps := s.pools[kind.Withdraw.GetPool()]; ps != nil {
			for _, request := range kind.Withdraw.GetRequests() {
				ps.removeDemand(demandKey{entry: from, request: request})
			}
		}
	case *fleetpb.Body_Progress:
		if ps := s.pools[kind.Progress.GetPool()]; ps != nil {
			for _, served := range kind.Progress.GetRuns() {
				if r, ok := ps.runs[runKey{entry: from, grant: served.GetGrant()}]; ok {
					ps.recordProgress(r, served.GetUnits())
				}
			}
		}
	case *fleetpb.Body_Finish:
		if ps := s.pools[kind.Finish.GetPool()]; ps != nil {
			ps.applyFinish(now, from, kind.Finish)
		}
	case *fleetpb.Body_Summary:
		s.receiveSummary(now, from, kind.Summary)
	case *fleetpb.Body_Lend:
		s.receiveLoan(now, from, kind.Lend)
	case *fleetpb.Body_Report:
		s.receiveReport(now, from, kind.Report)
	case *fleetpb.Body_Totals:
		if ps := s.pools[kind.Totals.GetSource()]; ps != nil {
			ps.applyTotals(kind.Totals)
		}
	}
}

// lookupPool returns the scheduler of a pool, nil if there is none. If create is set, it is created: the entry router's view may
// be newer than this router's, and a demand that is ignored now would not be announced again in this session.
func (s *Scheduler) lookupPool(now time.Time, name string, create bool) *poolScheduler {
	if ps, ok := s.pools[name]; ok || !create {
		return ps
	}
	pool, err := membership.ParsePool(name)
	if err != nil {
		return nil
	}
	return s.ensurePool(now, pool)
}

// receiveSummary stores the summary of another pool. A summary with a malformed pool name is ignored.
func (s *Scheduler) receiveSummary(now time.Time, from string, summary *fleetpb.Summary) {
	pool, err := membership.ParsePool(summary.GetPool())
	if err != nil {
		return
	}
	p := s.peerPools[summary.GetPool()]
	if p == nil {
		p = &peerPool{pool: summary.GetPool()}
		s.peerPools[summary.GetPool()] = p
	}
	p.host, p.model, p.region, p.receivedAt = from, pool.Model, summary.GetRegion(), now
	p.waiting, p.rate, p.backlog = int(summary.GetWaiting()), summary.GetRate(), summary.GetBacklog()
}

// receiveReport handles two kinds of reports. A report with the single account of customer zero carries the lowest service
// counter of another pool; any other report is for the owner of a customer shard.
func (s *Scheduler) receiveReport(now time.Time, from string, report *fleetpb.Report) {
	accounts := report.GetAccounts()
	if len(accounts) == 1 && accounts[0].GetCustomer() == 0 {
		if p := s.peerPools[report.GetSource()]; p != nil {
			p.lowestCounter = accounts[0].GetFloor()
		}
		return
	}
	s.shardOwner.Receive(now, from, report)
}

// receiveLoan adds the slots of a loan to the borrowed slots. Their owner is the scheduler of the lending pool and not always
// the sender, because the loan may have been forwarded. A loan that is past its deadline, or for a pool that this router does
// not schedule, is ignored; the lender takes the slots back after the deadline.
func (s *Scheduler) receiveLoan(now time.Time, from string, lend *fleetpb.Lend) {
	ps := s.pools[lend.GetPool()]
	deadline := time.UnixMilli(lend.GetDeadline())
	if ps == nil || !now.Before(deadline) {
		return
	}
	owner := from
	if pool, err := membership.ParsePool(lend.GetLender()); err == nil {
		owner = cmp.Or(s.view.Scheduler(pool), from)
	}
	for _, slots := range lend.GetSlots() {
		ps.borrowed = append(ps.borrowed, &borrowedSlots{
			owner:     owner,
			lender:    lend.GetLender(),
			number:    lend.GetNumber(),
			target:    slots.GetTarget(),
			remaining: int(slots.GetCount()),
			deadline:  deadline,
		})
	}
}
