package pool_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/pool"
)

const poolName = "z/drafts/0"

// testScheduler is a scheduler at the router "me" with a session to the entry router "e".
type testScheduler struct {
	*pool.Scheduler
	now time.Time
	// running is the number of running requests that each target reports.
	running map[string]int
	targets []membership.Target
	// runningGrant is the number of a grant whose run has not ended.
	runningGrant uint64
}

// newTestScheduler returns a scheduler with a number of targets. Its availability zone lists further routers that are down.
func newTestScheduler(targets, unreachable int) *testScheduler {
	s := &testScheduler{Scheduler: pool.New("me", 1), now: start, running: make(map[string]int)}
	routers := make([]membership.Router, 0, 1+unreachable)
	routers = append(routers, membership.Router{Name: "me", Zone: "z", State: membership.Up})
	for i := range unreachable {
		name := fmt.Sprintf("other%d", i)
		routers = append(routers, membership.Router{Name: name, Zone: "z", State: membership.Down})
	}
	for i := range targets {
		s.targets = append(s.targets, membership.Target{Name: fmt.Sprintf("t%d", i), Zone: "z", Model: model, Slots: slots})
	}
	s.UpdateView(s.now, membership.NewView("me", routers, s.targets))
	s.Connected(s.now, "e", 1)
	s.reportLoads()
	return s
}

// reportLoads passes the scheduler a load report of each target.
func (s *testScheduler) reportLoads() {
	for _, target := range s.targets {
		s.ObserveLoad(s.now, target.Name, external.LoadReport{MeasuredAt: s.now, Running: s.running[target.Name], Slots: slots})
	}
}

// announce announces count requests of class long of customer 1 at "e", numbered from first. change, if not nil, may alter each
// of them.
func (s *testScheduler) announce(first, count uint64, change func(*fleetpb.Demand)) {
	announce := &fleetpb.Announce{Pool: poolName}
	for i := range count {
		demand := &fleetpb.Demand{Request: first + i, Customer: 1, Estimate: 1000, Long: true, Due: int64(first + i)}
		if change != nil {
			change(demand)
		}
		announce.Demands = append(announce.Demands, demand)
	}
	s.Receive(s.now, "e", &fleetpb.Body{Kind: &fleetpb.Body_Announce{Announce: announce}})
}

// tick advances the time, runs one tick and returns its grants and loans.
func (s *testScheduler) tick(after time.Duration) (grants []*fleetpb.Grant, lends []*fleetpb.Lend) {
	s.now = s.now.Add(after)
	for _, envelope := range s.Tick(s.now) {
		grants = append(grants, envelope.Body.GetGrants().GetGrants()...)
		if lend := envelope.Body.GetLend(); lend != nil {
			lends = append(lends, lend)
		}
	}
	return grants, lends
}

// finish reports the end of a run of "e".
func (s *testScheduler) finish(ended *fleetpb.Ended) {
	finish := &fleetpb.Finish{Pool: poolName, Runs: []*fleetpb.Ended{ended}}
	s.Receive(s.now, "e", &fleetpb.Body{Kind: &fleetpb.Body_Finish{Finish: finish}})
}

// TestUnusedGrants guards against slots that stay occupied by grants that the entry router never used, and against counting the
// end of a run twice if it is reported twice.
func TestUnusedGrants(t *testing.T) {
	c := qt.New(t)
	s := newTestScheduler(1, 0)
	s.announce(1, 3*slots, nil)
	grants, _ := s.tick(0)
	c.Assert(grants, qt.HasLen, slots)
	s.finish(&fleetpb.Ended{Grant: grants[0].GetNumber(), Units: 1000, Outcome: fleetpb.Outcome_OUTCOME_DONE})
	s.finish(&fleetpb.Ended{Grant: grants[0].GetNumber(), Units: 1000, Outcome: fleetpb.Outcome_OUTCOME_DONE})
	more, _ := s.tick(0)
	c.Assert(more, qt.HasLen, 1)
	s.reportLoads()
	more, _ = s.tick(5 * time.Second)
	c.Assert(more, qt.HasLen, slots)
	c.Assert(s.CustomerTotals(model)[1], qt.Equals, uint64(1000*(slots+1)))
}

// TestRestart guards against a restarted scheduler that grants slots before it knows which are in use, and against runs that
// count twice, once from the entry router's sync and once from the load report. It also guards against grants to a disconnected
// router, and against its runs being counted as ended.
func TestRestart(t *testing.T) {
	c := qt.New(t)
	s := newTestScheduler(1, 0)
	s.Scheduler = pool.New("me", 2)
	s.UpdateView(s.now, membership.NewView("me", []membership.Router{{Name: "me", Zone: "z", State: membership.Up}}, s.targets))
	s.Connected(s.now, "e", 1)
	s.announce(1, 3*slots, nil)
	grants, _ := s.tick(500 * time.Millisecond)
	c.Assert(grants, qt.HasLen, 0)
	sync := &fleetpb.Sync{Pool: poolName}
	for i := range uint64(slots - 2) {
		sync.Runs = append(sync.Runs, &fleetpb.Run{Request: 100 + i, Grant: i, Target: "t0", Customer: 1, Charged: 1000, Long: true})
	}
	s.Receive(s.now, "e", &fleetpb.Body{Kind: &fleetpb.Body_Sync{Sync: sync}})
	s.announce(1, 3*slots, nil)
	s.running["t0"] = slots - 1
	s.reportLoads()
	grants, _ = s.tick(0)
	c.Assert(grants, qt.HasLen, 1)
	s.finish(&fleetpb.Ended{Grant: 3, Units: 1000, Outcome: fleetpb.Outcome_OUTCOME_DONE})
	grants, _ = s.tick(0)
	c.Assert(grants, qt.HasLen, 1)
	s.Disconnected(s.now, "e")
	c.Assert(s.Status(s.now)[0].Waiting, qt.Equals, 0)
	c.Assert(s.Status(s.now)[0].Running, qt.Equals, slots-1)
}

// TestLoanDeadline guards against lent slots that are never taken back, and against slots that are still in use counting as free
// after the loan's deadline.
func TestLoanDeadline(t *testing.T) {
	c := qt.New(t)
	s := newTestScheduler(1, 0)
	s.Connected(s.now, "borrower", 1)
	summary := &fleetpb.Summary{Pool: "y/drafts/0", Waiting: 100, Backlog: 100000}
	s.Receive(s.now, "borrower", &fleetpb.Body{Kind: &fleetpb.Body_Summary{Summary: summary}})
	_, lends := s.tick(0)
	c.Assert(lends, qt.HasLen, 1)
	c.Assert(lends[0].GetSlots()[0].GetCount(), qt.Equals, uint32(slots))
	s.announce(1, 3*slots, nil)
	grants, _ := s.tick(time.Second)
	c.Assert(grants, qt.HasLen, 0)

	s.running["t0"] = 3
	s.now = s.now.Add(2 * time.Second)
	s.reportLoads()
	grants, _ = s.tick(0)
	c.Assert(grants, qt.HasLen, slots-3)
	s.finish(&fleetpb.Ended{Grant: 99, Target: "t0", Outcome: fleetpb.Outcome_OUTCOME_DONE})
	grants, _ = s.tick(0)
	c.Assert(grants, qt.HasLen, 1)
}

// TestLendLimits guards against lending more slots than requests wait, and against lending to another region for short waits.
func TestLendLimits(t *testing.T) {
	for name, test := range map[string]struct {
		summary *fleetpb.Summary
		want    int
	}{
		"near":       {&fleetpb.Summary{Waiting: 3, Backlog: 100, Rate: 1000}, 3},
		"far, short": {&fleetpb.Summary{Waiting: 3, Backlog: 200, Rate: 1000, Region: "far"}, 0},
		"far, long":  {&fleetpb.Summary{Waiting: 3, Backlog: 900, Rate: 1000, Region: "far"}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestScheduler(1, 0)
			s.Connected(s.now, "borrower", 1)
			test.summary.Pool = "y/drafts/0"
			s.Receive(s.now, "borrower", &fleetpb.Body{Kind: &fleetpb.Body_Summary{Summary: test.summary}})
			s.tick(0)
			s.tick(10 * time.Millisecond)
			qt.Assert(t, s.Status(s.now)[0].Lent, qt.Equals, test.want)
		})
	}
}

// TestForwardBorrowedSlots guards against a pool using all slots lent to it while another pool, which the lender does not know,
// is further behind.
func TestForwardBorrowedSlots(t *testing.T) {
	c := qt.New(t)
	s := newTestScheduler(1, 0)
	s.announce(1, 3*slots, nil)
	s.tick(0)
	s.Connected(s.now, "lender", 1)
	s.Connected(s.now, "behind", 1)
	for _, body := range []*fleetpb.Body{
		{Kind: &fleetpb.Body_Summary{Summary: &fleetpb.Summary{Pool: "y/drafts/0", Waiting: 3, Backlog: 3000}}},
		{Kind: &fleetpb.Body_Report{Report: &fleetpb.Report{
			Model: model, Source: "y/drafts/0", Accounts: []*fleetpb.Account{{Floor: 2500}},
		}}},
		{Kind: &fleetpb.Body_Lend{Lend: &fleetpb.Lend{
			Pool: poolName, Lender: "x/drafts/0", Number: 7, Deadline: s.now.Add(time.Second).UnixMilli(),
			Slots: []*fleetpb.Slots{{Target: "tx", Count: 8}},
		}}},
	} {
		s.Receive(s.now, "behind", body)
	}
	grants, lends := s.tick(0)
	c.Assert(grants, qt.HasLen, 5)
	c.Assert(lends, qt.HasLen, 1)
	c.Check(lends[0].GetLender(), qt.Equals, "x/drafts/0")
	c.Check(lends[0].GetNumber(), qt.Equals, uint64(7))
	c.Check(lends[0].GetSlots()[0].GetCount(), qt.Equals, uint32(3))
}

// TestLostGrants guards against charging for grants that were lost with their session, and against reusing the number of a
// grant that another scheduler issued.
func TestLostGrants(t *testing.T) {
	c := qt.New(t)
	s := newTestScheduler(1, 0)
	s.announce(1, slots, nil)
	grants, _ := s.tick(0)
	c.Assert(grants, qt.HasLen, slots)
	c.Assert(s.CustomerTotals(model)[1], qt.Equals, uint64(1000*slots))
	s.Connected(s.now, "e", 1)
	other := &fleetpb.Run{Request: 900, Grant: grants[slots-1].GetNumber() + 1, Target: "t0", Customer: 2, Long: true}
	sync := &fleetpb.Sync{Pool: poolName, Runs: []*fleetpb.Run{other}}
	s.Receive(s.now, "e", &fleetpb.Body{Kind: &fleetpb.Body_Sync{Sync: sync}})
	c.Assert(s.CustomerTotals(model)[1], qt.Equals, uint64(0))
	s.announce(1, slots, nil)
	grants, _ = s.tick(0)
	c.Assert(grants, qt.HasLen, slots-1)
	c.Assert(grants[0].GetNumber(), qt.Equals, other.GetGrant()+1)
}

// TestLateLoadReport guards against free slots that are not granted because a late load report still shows runs that have ended.
func TestLateLoadReport(t *testing.T) {
	c := qt.New(t)
	s := newTestScheduler(1, 0)
	s.announce(1, 2*slots, nil)
	grants, _ := s.tick(0)
	s.now = s.now.Add(time.Second)
	s.finish(&fleetpb.Ended{Grant: grants[0].GetNumber(), Units: 1000, Outcome: fleetpb.Outcome_OUTCOME_DONE})
	s.ObserveLoad(s.now, "t0", external.LoadReport{MeasuredAt: s.now.Add(-100 * time.Millisecond), Running: slots, Slots: slots})
	grants, _ = s.tick(0)
	c.Assert(grants, qt.HasLen, 1)
}

// TestTotalRequestsAreBounded guards against requesting the totals of all customers with waiting requests in each period, and
// against not requesting totals again.
func TestTotalRequestsAreBounded(t *testing.T) {
	c := qt.New(t)
	s := newBacklogged(1, 200)
	asked := 0
	for range 6 {
		s.now = s.now.Add(500 * time.Millisecond)
		asked = 0
		for _, envelope := range append(s.Tick(s.now), s.Tick(s.now)...) {
			asked += len(envelope.Body.GetReport().GetAccounts())
			s.Receive(s.now, "me", envelope.Body)
		}
	}
	c.Assert(asked > 0 && asked < 100, qt.IsTrue, qt.Commentf("asked for %d", asked))
}

// TestLostTotals guards against a customer that is served before all others after a restart, because the owner of its shard lost
// its total and its counter starts from zero.
func TestLostTotals(t *testing.T) {
	c := qt.New(t)
	s := newTestScheduler(1, 0)
	s.running["t0"] = slots
	s.now = s.now.Add(time.Millisecond)
	s.reportLoads()
	s.announce(1, 2, func(d *fleetpb.Demand) { d.Customer = uint32(d.GetRequest()) })
	s.Tick(s.now)
	totals := &fleetpb.Totals{Model: model, Source: poolName, Incarnation: 1}
	totals.Totals = []*fleetpb.Total{{Customer: 1, Total: 90000}, {Customer: 2}}
	s.Receive(s.now, "e", &fleetpb.Body{Kind: &fleetpb.Body_Totals{Totals: totals}})
	s.Tick(s.now)
	c.Assert(s.CustomerTotals(model), qt.DeepEquals, map[uint32]uint64{1: 90000, 2: 90000})
}

// TestPartialViewLimitsGrants guards against a scheduler that sees only one of four routers as up and grants all slots that a
// load report shows as free, which the other routers may grant too.
func TestPartialViewLimitsGrants(t *testing.T) {
	c := qt.New(t)
	s := newTestScheduler(1, 3)
	s.announce(1, 3*slots, nil)
	granted := 0
	for range 4 {
		grants, _ := s.tick(10 * time.Millisecond)
		granted += len(grants)
	}
	c.Assert(granted, qt.Equals, slots/4)
	s.running["t0"] = 4
	s.now = s.now.Add(250 * time.Millisecond)
	s.reportLoads()
	grants, _ := s.tick(0)
	c.Assert(grants, qt.HasLen, 1)
}

// TestPlacement guards against two suspects on one target, against requests on targets that they must avoid, and against
// requests that wait behind others which cannot run.
func TestPlacement(t *testing.T) {
	c := qt.New(t)
	s := newTestScheduler(2, 0)
	s.announce(1, 40, func(d *fleetpb.Demand) { d.Apart = true })
	s.announce(101, 10, func(d *fleetpb.Demand) { d.Avoid = []string{"t0"} })
	s.announce(201, 40, nil)
	grants, _ := s.tick(0)
	suspects, avoiding := make(map[string]int), 0
	for _, grant := range grants {
		switch request := grant.GetRequest(); {
		case request <= 40:
			suspects[grant.GetTarget()]++
		case request <= 110:
			avoiding++
			c.Check(grant.GetTarget(), qt.Equals, "t1")
		}
	}
	c.Check(suspects, qt.DeepEquals, map[string]int{"t0": 1, "t1": 1})
	c.Check(avoiding, qt.Equals, slots-1)
	c.Check(grants, qt.HasLen, 2*slots)
}

// TestLongRequestNotStarvedByQuick guards against a long request waiting behind quick requests of its own customer that are due
// later.
func TestLongRequestNotStarvedByQuick(t *testing.T) {
	c := qt.New(t)
	s := newTestScheduler(1, 0)
	s.announce(100, 3*slots, func(d *fleetpb.Demand) { d.Long = false })
	s.announce(500, 1, func(d *fleetpb.Demand) { d.Due = 50 })
	grants, _ := s.tick(0)
	c.Assert(grants, qt.HasLen, slots+1)
	c.Assert(grants[0].GetRequest(), qt.Equals, uint64(500))
}

// TestPrefixAffinity guards against prompts with one prefix moving between targets although the target that has the prefix in its
// cache has a free slot.
func TestPrefixAffinity(t *testing.T) {
	c := qt.New(t)
	s := newTestScheduler(3, 0)
	targets := make(map[string]bool)
	for i := range uint64(6) {
		s.announce(1+10*i, 1, func(d *fleetpb.Demand) { d.Prefix = 77 })
		s.announce(2+10*i, 1, nil)
		grants, _ := s.tick(0)
		targets[grants[0].GetTarget()] = true
	}
	c.Check(targets, qt.HasLen, 1)
}
