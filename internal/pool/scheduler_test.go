package pool_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/pool"
)

const poolName = "z/drafts/0"

// single is one scheduler "me" with the entry router "e" and targets that report no load of others.
type single struct {
	*pool.Scheduler
	now     time.Time
	running map[string]int
	targets []membership.Target
	// first is the number of a grant in use.
	first uint64
}

// newSingle returns a scheduler whose availability zone lists other routers that it does not hear.
func newSingle(targets, silent int) *single {
	s := &single{Scheduler: pool.New("me", 1), now: start, running: make(map[string]int)}
	routers := make([]membership.Router, 0, 1+silent)
	routers = append(routers, membership.Router{Name: "me", Zone: "z", State: membership.Up})
	for i := range silent {
		name := fmt.Sprintf("other%d", i)
		routers = append(routers, membership.Router{Name: name, Zone: "z", State: membership.Down})
	}
	for i := range targets {
		s.targets = append(s.targets, membership.Target{Name: fmt.Sprintf("t%d", i), Zone: "z", Model: model, Slots: slots})
	}
	s.UpdateView(s.now, membership.NewView("me", routers, s.targets))
	s.Connected(s.now, "e", 1)
	s.observe()
	return s
}

// observe gives the scheduler a load report of each target.
func (s *single) observe() {
	for _, target := range s.targets {
		s.ObserveLoad(s.now, target.Name, outside.Load{At: s.now, Running: s.running[target.Name], Slots: slots})
	}
}

// announce adds waiting requests of customer 1, from the number first on.
func (s *single) announce(first, count uint64, change func(*fleetpb.Demand)) {
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

// tick lets time pass and returns the grants and loans of one tick.
func (s *single) tick(after time.Duration) (grants []*fleetpb.Grant, lends []*fleetpb.Lend) {
	s.now = s.now.Add(after)
	for _, envelope := range s.Tick(s.now) {
		grants = append(grants, envelope.Body.GetGrants().GetGrants()...)
		if lend := envelope.Body.GetLend(); lend != nil {
			lends = append(lends, lend)
		}
	}
	return grants, lends
}

// finish reports the end of a run.
func (s *single) finish(ended *fleetpb.Ended) {
	finish := &fleetpb.Finish{Pool: poolName, Runs: []*fleetpb.Ended{ended}}
	s.Receive(s.now, "e", &fleetpb.Body{Kind: &fleetpb.Body_Finish{Finish: finish}})
}

// Guards against slots that stay taken by grants that the entry router never used, and against ends that are counted
// twice.
func TestUnusedGrants(t *testing.T) {
	c := qt.New(t)
	s := newSingle(1, 0)
	s.announce(1, 3*slots, nil)
	grants, _ := s.tick(0)
	c.Assert(grants, qt.HasLen, slots)
	s.finish(&fleetpb.Ended{Grant: grants[0].GetNumber(), Units: 1000, Outcome: fleetpb.Outcome_OUTCOME_DONE})
	s.finish(&fleetpb.Ended{Grant: grants[0].GetNumber(), Units: 1000, Outcome: fleetpb.Outcome_OUTCOME_DONE})
	more, _ := s.tick(0)
	c.Assert(more, qt.HasLen, 1)
	s.observe()
	more, _ = s.tick(5 * time.Second)
	c.Assert(more, qt.HasLen, slots)
	c.Assert(s.Totals(model)[1], qt.Equals, uint64(1000*(slots+1)))
}

// Guards against a restarted scheduler that fills slots whose use it does not know yet, and against runs that count
// twice, once by the entry router's announcement and once by the load report. Guards also against grants to a router that
// went away, and against its runs being taken for ended.
func TestRestart(t *testing.T) {
	c := qt.New(t)
	s := newSingle(1, 0)
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
	s.observe()
	grants, _ = s.tick(0)
	c.Assert(grants, qt.HasLen, 1)
	s.finish(&fleetpb.Ended{Grant: 3, Units: 1000, Outcome: fleetpb.Outcome_OUTCOME_DONE})
	grants, _ = s.tick(0)
	c.Assert(grants, qt.HasLen, 1)
	s.Disconnected(s.now, "e")
	c.Assert(s.Status(s.now)[0].Waiting, qt.Equals, 0)
	c.Assert(s.Status(s.now)[0].Running, qt.Equals, slots-1)
}

// Guards against lent slots that never come back, and against slots in use that count as free after the loan's deadline.
func TestLoanDeadline(t *testing.T) {
	c := qt.New(t)
	s := newSingle(1, 0)
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
	s.observe()
	grants, _ = s.tick(0)
	c.Assert(grants, qt.HasLen, slots-3)
	s.finish(&fleetpb.Ended{Grant: 99, Target: "t0", Outcome: fleetpb.Outcome_OUTCOME_DONE})
	grants, _ = s.tick(0)
	c.Assert(grants, qt.HasLen, 1)
}

// Guards against loans beyond what waits, and against loans across regions for short waits.
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
			s := newSingle(1, 0)
			s.Connected(s.now, "borrower", 1)
			test.summary.Pool = "y/drafts/0"
			s.Receive(s.now, "borrower", &fleetpb.Body{Kind: &fleetpb.Body_Summary{Summary: test.summary}})
			s.tick(0)
			s.tick(10 * time.Millisecond)
			qt.Assert(t, s.Status(s.now)[0].Lent, qt.Equals, test.want)
		})
	}
}

// Guards against a pool that uses all that is lent to it while another one, which the lender does not know, is behind.
func TestForward(t *testing.T) {
	c := qt.New(t)
	s := newSingle(1, 0)
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

// Guards against charges for grants that were lost with their session, and against one number for two grants.
func TestLostGrants(t *testing.T) {
	c := qt.New(t)
	s := newSingle(1, 0)
	s.announce(1, slots, nil)
	grants, _ := s.tick(0)
	c.Assert(grants, qt.HasLen, slots)
	c.Assert(s.Totals(model)[1], qt.Equals, uint64(1000*slots))
	s.Connected(s.now, "e", 1)
	other := &fleetpb.Run{Request: 900, Grant: grants[slots-1].GetNumber() + 1, Target: "t0", Customer: 2, Long: true}
	sync := &fleetpb.Sync{Pool: poolName, Runs: []*fleetpb.Run{other}}
	s.Receive(s.now, "e", &fleetpb.Body{Kind: &fleetpb.Body_Sync{Sync: sync}})
	c.Assert(s.Totals(model)[1], qt.Equals, uint64(0))
	s.announce(1, slots, nil)
	grants, _ = s.tick(0)
	c.Assert(grants, qt.HasLen, slots-1)
	c.Assert(grants[0].GetNumber(), qt.Equals, other.GetGrant()+1)
}

// Guards against free slots that stay empty because a late load report still shows the runs that have ended.
func TestLateReport(t *testing.T) {
	c := qt.New(t)
	s := newSingle(1, 0)
	s.announce(1, 2*slots, nil)
	grants, _ := s.tick(0)
	s.now = s.now.Add(time.Second)
	s.finish(&fleetpb.Ended{Grant: grants[0].GetNumber(), Units: 1000, Outcome: fleetpb.Outcome_OUTCOME_DONE})
	s.ObserveLoad(s.now, "t0", outside.Load{At: s.now.Add(-100 * time.Millisecond), Running: slots, Slots: slots})
	grants, _ = s.tick(0)
	c.Assert(grants, qt.HasLen, 1)
}

// Guards against traffic that grows with all backlogged customers, and against totals that nobody asks for again.
func TestQuestions(t *testing.T) {
	c := qt.New(t)
	s := backlogged(1, 200)
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

// Guards against a customer that holds back all others after a restart because the owner of its shard lost its total.
func TestLostTotals(t *testing.T) {
	c := qt.New(t)
	s := newSingle(1, 0)
	s.running["t0"] = slots
	s.now = s.now.Add(time.Millisecond)
	s.observe()
	s.announce(1, 2, func(d *fleetpb.Demand) { d.Customer = uint32(d.GetRequest()) })
	s.Tick(s.now)
	totals := &fleetpb.Totals{Model: model, Source: poolName, Incarnation: 1}
	totals.Totals = []*fleetpb.Total{{Customer: 1, Total: 90000}, {Customer: 2}}
	s.Receive(s.now, "e", &fleetpb.Body{Kind: &fleetpb.Body_Totals{Totals: totals}})
	s.Tick(s.now)
	c.Assert(s.Totals(model), qt.DeepEquals, map[uint32]uint64{1: 90000, 2: 90000})
}

// Guards against a scheduler that hears one of four routers and fills all slots that a load report shows as free.
func TestFraction(t *testing.T) {
	c := qt.New(t)
	s := newSingle(1, 3)
	s.announce(1, 3*slots, nil)
	granted := 0
	for range 4 {
		grants, _ := s.tick(10 * time.Millisecond)
		granted += len(grants)
	}
	c.Assert(granted, qt.Equals, slots/4)
	s.running["t0"] = 4
	s.now = s.now.Add(250 * time.Millisecond)
	s.observe()
	grants, _ := s.tick(0)
	c.Assert(grants, qt.HasLen, 1)
}

// Guards against two suspects on one target, against requests on targets that they must avoid, and against requests that
// wait behind those which cannot run.
func TestPlacement(t *testing.T) {
	c := qt.New(t)
	s := newSingle(2, 0)
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

// Guards against long requests of a customer that starve behind its own quick ones.
func TestDue(t *testing.T) {
	c := qt.New(t)
	s := newSingle(1, 0)
	s.announce(100, 3*slots, func(d *fleetpb.Demand) { d.Long = false })
	s.announce(500, 1, func(d *fleetpb.Demand) { d.Due = 50 })
	grants, _ := s.tick(0)
	c.Assert(grants, qt.HasLen, slots+1)
	c.Assert(grants[0].GetRequest(), qt.Equals, uint64(500))
}

// Guards against prompts that move between targets although the one that has their prefix in its cache is free.
func TestPrefix(t *testing.T) {
	c := qt.New(t)
	s := newSingle(3, 0)
	targets := make(map[string]bool)
	for i := range uint64(6) {
		s.announce(1+10*i, 1, func(d *fleetpb.Demand) { d.Prefix = 77 })
		s.announce(2+10*i, 1, nil)
		grants, _ := s.tick(0)
		targets[grants[0].GetTarget()] = true
	}
	c.Check(targets, qt.HasLen, 1)
}
