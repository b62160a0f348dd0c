package pool

import (
	"cmp"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
)

// Receive takes over a message of a peer.
func (s *Scheduler) Receive(now time.Time, from string, body *fleetpb.Body) {
	incarnation, connected := s.sessions[from]
	if !connected {
		return
	}
	switch kind := body.GetKind().(type) {
	case *fleetpb.Body_Sync:
		if row := s.open(now, kind.Sync.GetPool(), len(kind.Sync.GetDemands())+len(kind.Sync.GetRuns()) > 0); row != nil {
			row.sync(now, from, incarnation, kind.Sync)
		}
	case *fleetpb.Body_Announce:
		if row := s.open(now, kind.Announce.GetPool(), true); row != nil {
			row.announce(from, kind.Announce.GetDemands())
		}
	case *fleetpb.Body_Withdraw:
		if row := s.schedules[kind.Withdraw.GetPool()]; row != nil {
			for _, request := range kind.Withdraw.GetRequests() {
				row.drop(demandKey{entry: from, request: request})
			}
		}
	case *fleetpb.Body_Progress:
		if row := s.schedules[kind.Progress.GetPool()]; row != nil {
			for _, served := range kind.Progress.GetRuns() {
				if r, ok := row.runs[runKey{entry: from, grant: served.GetGrant()}]; ok {
					row.progress(r, served.GetUnits())
				}
			}
		}
	case *fleetpb.Body_Finish:
		if row := s.schedules[kind.Finish.GetPool()]; row != nil {
			row.finish(now, from, kind.Finish)
		}
	case *fleetpb.Body_Summary:
		s.summary(now, from, kind.Summary)
	case *fleetpb.Body_Lend:
		s.borrow(now, from, kind.Lend)
	case *fleetpb.Body_Report:
		s.report(now, from, kind.Report)
	case *fleetpb.Body_Totals:
		if row := s.schedules[kind.Totals.GetSource()]; row != nil {
			row.totals(kind.Totals)
		}
	}
}

// open returns the schedule of a pool. If there is none it is created on request: the entry router's view may be newer
// than this router's, and a demand that is ignored would never be announced again.
func (s *Scheduler) open(now time.Time, name string, create bool) *schedule {
	if row, ok := s.schedules[name]; ok || !create {
		return row
	}
	pool, err := membership.ParsePool(name)
	if err != nil {
		return nil
	}
	return s.schedule(now, pool)
}

// summary notes how much waits in another pool.
func (s *Scheduler) summary(now time.Time, from string, summary *fleetpb.Summary) {
	pool, err := membership.ParsePool(summary.GetPool())
	if err != nil {
		return
	}
	p := s.peers[summary.GetPool()]
	if p == nil {
		p = &peer{pool: summary.GetPool()}
		s.peers[summary.GetPool()] = p
	}
	p.host, p.model, p.region, p.heard = from, pool.Model, summary.GetRegion(), now
	p.waiting, p.rate, p.backlog = int(summary.GetWaiting()), summary.GetRate(), summary.GetBacklog()
}

// report notes the level of another pool, or gives the report of a customer shard to its owner.
func (s *Scheduler) report(now time.Time, from string, report *fleetpb.Report) {
	accounts := report.GetAccounts()
	if len(accounts) == 1 && accounts[0].GetCustomer() == 0 {
		if p := s.peers[report.GetSource()]; p != nil {
			p.level = accounts[0].GetFloor()
		}
		return
	}
	s.owner.Receive(now, from, report)
}

// borrow enters lent slots. Their owner is the scheduler of the lending pool, since a loan may have been passed on. Slots
// for a pool that this router does not schedule come back to the lender at the loan's deadline.
func (s *Scheduler) borrow(now time.Time, from string, lend *fleetpb.Lend) {
	row := s.schedules[lend.GetPool()]
	deadline := time.UnixMilli(lend.GetDeadline())
	if row == nil || !now.Before(deadline) {
		return
	}
	owner := from
	if pool, err := membership.ParsePool(lend.GetLender()); err == nil {
		owner = cmp.Or(s.view.Scheduler(pool), from)
	}
	for _, slots := range lend.GetSlots() {
		row.borrowed = append(row.borrowed, &borrowed{
			owner:    owner,
			lender:   lend.GetLender(),
			number:   lend.GetNumber(),
			target:   slots.GetTarget(),
			left:     int(slots.GetCount()),
			deadline: deadline,
		})
	}
}
