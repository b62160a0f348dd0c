package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/share"
)

// schedule is the state of one pool.
type schedule struct {
	settings
	pool      membership.Pool
	name      string
	region    string
	ledger    *share.Ledger
	weights   map[uint32]uint32
	backlogs  map[uint32]*backlog
	demands   map[demandKey]*demand
	runs      map[runKey]*run
	targets   []*target
	loans     []*loan
	borrowed  []*borrowed
	prefixes  *prefixes
	fraction  float64
	number    *uint64
	meter     meter
	estimated uint64
	// shorts is the number of waiting requests of short classes.
	shorts int
	// level is the counter of the last granted customer before its charge: the floor if nobody is backlogged.
	level uint64
	// remote is the lowest level of the other pools that want slots, zero if there is none.
	remote uint64
	// fresh holds customers of whom the owner of their shard knew nothing.
	fresh map[uint32]struct{}
	// flying is the charge of each customer's runs in weighted milli-units.
	flying  map[uint32]uint64
	created time.Time
	// reportAt is the instant of the next look for due reports, markAt that of the next question for totals.
	reportAt time.Time
	markAt   time.Time
	told     map[string]notice
	orphan   bool
}

// newSchedule returns an empty schedule; grant numbers are drawn from number.
func newSchedule(now time.Time, pool membership.Pool, settings settings, ledger *share.Ledger, number *uint64) *schedule {
	return &schedule{
		settings: settings,
		pool:     pool,
		name:     pool.String(),
		ledger:   ledger,
		backlogs: make(map[uint32]*backlog),
		demands:  make(map[demandKey]*demand),
		runs:     make(map[runKey]*run),
		prefixes: newPrefixes(),
		fraction: 1,
		number:   number,
		told:     make(map[string]notice),
		fresh:    make(map[uint32]struct{}),
		flying:   make(map[uint32]uint64),
		created:  now,
	}
}

// locate takes over the pool's targets and the fraction of its availability zone's routers that this router hears.
func (s *schedule) locate(now time.Time, view membership.View) {
	s.region = view.PoolRegion(s.pool)
	s.orphan = view.Scheduler(s.pool) != view.Self().Name
	whole := !s.limited()
	s.fraction = 1
	if live, listed := view.CountRouters(s.pool.Zone); listed > 0 && live < listed {
		s.fraction = max(float64(live), 0.5) / float64(listed)
	}
	members := view.PoolTargets(s.pool)
	targets := make([]*target, 0, len(members))
	for _, name := range members {
		listed, _ := view.Target(name)
		row := s.target(name)
		if row == nil {
			row = s.newTarget(now, name)
		}
		if row.heard.IsZero() || row.load.Slots <= 0 {
			row.slots = max(1, listed.Slots)
		}
		row.leaving, row.fraction = listed.Leaving, s.fraction
		if whole && s.limited() {
			row.budget = 0
		}
		targets = append(targets, row)
	}
	s.targets = targets
	s.loans = slices.DeleteFunc(s.loans, func(l *loan) bool { return s.target(l.target) == nil })
}

// newTarget returns the row of a target that joins the pool, with the runs that it has already.
func (s *schedule) newTarget(now time.Time, name string) *target {
	row := &target{name: name, added: now, refilled: now}
	for _, r := range s.runs {
		if r.target == name {
			row.add(r.granted, r.of)
		}
	}
	for _, l := range s.loans {
		if l.target == name {
			row.own += l.left
		}
	}
	row.budget = 0
	return row
}

// target returns the row of a target, nil if it is not in the pool.
func (s *schedule) target(name string) *target {
	at, found := slices.BinarySearchFunc(s.targets, name, func(t *target, n string) int { return cmp.Compare(t.name, n) })
	if !found {
		return nil
	}
	return s.targets[at]
}

// idle reports whether the schedule holds nothing, and the owners of the customer shards know all of its service.
func (s *schedule) idle() bool {
	return len(s.demands) == 0 && len(s.runs) == 0 && len(s.loans) == 0 && !s.ledger.Pending()
}

// limited reports whether this router hears a part of the availability zone's routers only.
func (s *schedule) limited() bool { return s.fraction < 1 }

// weight returns a customer's weight.
func (s *schedule) weight(customer uint32) uint64 { return uint64(max(1, s.weights[customer])) }

// add enters a waiting request, in place of an older announcement of the same one.
func (s *schedule) add(d *demand) {
	s.drop(d.key)
	waiting, ok := s.backlogs[d.customer]
	if !ok {
		s.ledger.Raise(d.customer, s.floor())
		waiting = &backlog{customer: d.customer}
		s.backlogs[d.customer] = waiting
	}
	waiting.add(d)
	s.demands[d.key] = d
	s.estimated += d.estimate
	if !d.long {
		s.shorts++
	}
}

// drop removes a waiting request.
func (s *schedule) drop(key demandKey) {
	d, ok := s.demands[key]
	if !ok {
		return
	}
	delete(s.demands, key)
	s.estimated -= d.estimate
	if !d.long {
		s.shorts--
	}
	waiting := s.backlogs[d.customer]
	waiting.remove(d)
	if waiting.size() == 0 {
		delete(s.backlogs, d.customer)
	}
}

// dropEntry removes all waiting requests of an entry router.
func (s *schedule) dropEntry(entry string) {
	var keys []demandKey
	for key := range s.demands {
		if key.entry == entry {
			keys = append(keys, key)
		}
	}
	for _, key := range keys {
		s.drop(key)
	}
}

// floor returns the least counter of a customer that returns from idle: the lowest one of the customers that are
// backlogged here, else that of the other pools' backlogged customers, else the counter of the last grant. Charges of
// requests in flight do not count: they may be too high, and the returning customer has nothing in flight itself.
func (s *schedule) floor() uint64 {
	lowest, found := uint64(0), false
	for customer := range s.backlogs {
		if counter := s.settled(customer); !found || counter < lowest {
			lowest, found = counter, true
		}
	}
	if found {
		return lowest
	}
	if s.remote > 0 {
		return s.remote
	}
	return s.level
}

// settled returns a customer's counter without the charges of its requests in flight here.
func (s *schedule) settled(customer uint32) uint64 {
	counter := s.ledger.Counter(customer)
	return counter - min(counter, s.flying[customer])
}

// place runs the floor for what only other routers know: the level of other pools, and in the first seconds the
// customers whose service the owner of their shard has lost.
func (s *schedule) place(now time.Time, peers []*peer) {
	s.remote = 0
	for _, p := range peers {
		if p.wants(now, s.region) && p.level > 0 && (s.remote == 0 || p.level < s.remote) {
			s.remote = p.level
		}
	}
	if now.Sub(s.created) > placeTime {
		clear(s.fresh)
	}
	if len(s.fresh) == 0 {
		return
	}
	lowest, found := uint64(0), false
	for customer := range s.backlogs {
		if counter := s.ledger.Counter(customer); s.ledger.Placed(customer) && (!found || counter < lowest) {
			lowest, found = counter, true
		}
	}
	if found {
		for customer := range s.fresh {
			s.ledger.Raise(customer, lowest)
		}
		clear(s.fresh)
	}
}

// placeTime is how long a new schedule looks for customers whose shard's owner lost its state at the same time. They
// would start from zero among customers with a history and hold back all others for that history's length.
const placeTime = 3 * time.Second

// totals takes over the answer of a shard's owner.
func (s *schedule) totals(totals *fleetpb.Totals) {
	for _, customer := range s.ledger.Receive(totals) {
		s.fresh[customer] = struct{}{}
	}
}

// lowest returns the lowest counter of the backlogged customers.
func (s *schedule) lowest() (uint64, bool) {
	lowest, found := uint64(0), false
	for customer := range s.backlogs {
		if counter := s.ledger.Counter(customer); !found || counter < lowest {
			lowest, found = counter, true
		}
	}
	return lowest, found
}

// start enters a run.
func (s *schedule) start(r *run) {
	s.runs[r.key] = r
	s.flying[r.customer] += r.paid
	if row := s.target(r.target); row != nil {
		row.add(r.granted, r.of)
	}
}

// end removes a run and corrects its charge to the service that it got.
func (s *schedule) end(now time.Time, r *run, units uint64) {
	s.correct(r, units)
	delete(s.runs, r.key)
	s.flying[r.customer] -= r.paid
	if s.flying[r.customer] == 0 {
		delete(s.flying, r.customer)
	}
	if row := s.target(r.target); row != nil {
		row.remove(now, r.granted, r.of)
	}
}

// charge counts the expected service of a run at its dispatch.
func (s *schedule) charge(r *run, units uint64) {
	r.units, r.paid = units, units/r.weight
	s.ledger.Charge(r.customer, r.paid)
	s.meter.add(units)
}

// correct changes the charge of a run to its real service.
func (s *schedule) correct(r *run, units uint64) {
	due := units / r.weight
	if due >= r.paid {
		s.ledger.Charge(r.customer, due-r.paid)
		s.meter.add(units - min(units, r.units))
	} else {
		s.ledger.Refund(r.customer, r.paid-due)
	}
	s.flying[r.customer] += due - r.paid
	r.units, r.paid = units, due
}

// runsWhere returns the runs that match, in the order of their keys.
func (s *schedule) runsWhere(match func(*run) bool) []*run {
	var out []*run
	for _, r := range s.runs {
		if match(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.key.entry, b.key.entry), cmp.Compare(a.key.grant, b.key.grant))
	})
	return out
}
