package pool_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/platform"
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
	s.Locate(s.now, membership.NewView("me", routers, s.targets))
	s.Connected(s.now, "e", 1)
	s.observe()
	return s
}

// observe gives the scheduler a load report of each target.
func (s *single) observe() {
	for _, target := range s.targets {
		s.Observe(s.now, target.Name, platform.Load{At: s.now, Running: s.running[target.Name], Slots: slots})
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
	s.Locate(s.now, membership.NewView("me", []membership.Router{{Name: "me", Zone: "z", State: membership.Up}}, s.targets))
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
