package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/share"
)

// Scheduler schedules all pools that one router holds, and owns the customer shards that the view gives to the router.
type Scheduler struct {
	settings
	self        string
	incarnation uint64
	view        membership.View
	weights     map[uint32]uint32
	sessions    map[string]uint64
	schedules   map[string]*schedule
	ledgers     map[string]*share.Ledger
	loads       map[string]outside.Load
	peers       map[string]*peer
	around      map[string][]neighbour
	shards      uint32
	owners      map[string][]string
	owner       *share.Owner
	number      uint64
}

// New returns a scheduler without pools. Its router is always connected to itself.
func New(self string, incarnation uint64, options ...Option) *Scheduler {
	s := &Scheduler{
		settings:    settings{near: 250 * time.Millisecond, far: time.Second, life: 2 * time.Second},
		self:        self,
		incarnation: incarnation,
		sessions:    map[string]uint64{self: incarnation},
		schedules:   make(map[string]*schedule),
		ledgers:     make(map[string]*share.Ledger),
		loads:       make(map[string]outside.Load),
		peers:       make(map[string]*peer),
		around:      make(map[string][]neighbour),
		owners:      make(map[string][]string),
		owner:       share.NewOwner(),
		shards:      1,
		number:      firstNumber(self, incarnation),
	}
	for _, option := range options {
		option(&s.settings)
	}
	return s
}

// firstNumber returns where the grant numbers of an incarnation start. Entry routers hold grants of several schedulers
// of one pool at a time, so that two incarnations should not use the same numbers. Small ones take fewer bytes.
func firstNumber(self string, incarnation uint64) uint64 {
	var seed [8]byte
	for i := range seed {
		seed[i] = byte(incarnation >> (8 * i))
	}
	return xxhash.Sum64(append([]byte(self), seed[:]...)) % (1 << 20)
}

// UpdateView takes over a new view: schedules of pools that this router schedules now are created, those of other pools are
// dropped once they hold nothing.
func (s *Scheduler) UpdateView(now time.Time, view membership.View) {
	s.view = view
	s.shards = share.Shards(view)
	clear(s.owners)
	s.owner.Locate(view)
	clear(s.around)
	for _, model := range view.Models() {
		for _, pool := range view.Pools(model) {
			if view.Scheduler(pool) == s.self {
				s.schedule(now, pool)
			}
		}
	}
	for _, row := range s.sorted() {
		row.locate(now, view)
		if row.orphan && row.idle() {
			delete(s.schedules, row.name)
			continue
		}
		s.replay(now, row)
		s.around[row.name] = neighbours(view, row.pool)
	}
	maps.DeleteFunc(s.loads, func(name string, _ outside.Load) bool {
		_, found := view.Target(name)
		return !found
	})
}

// replay gives a schedule the newest load reports of its targets.
func (s *Scheduler) replay(now time.Time, row *schedule) {
	for _, target := range row.targets {
		if load, ok := s.loads[target.name]; ok && now.Sub(load.At) < staleTime {
			row.observe(now, target.name, load)
		}
	}
}

// schedule returns the schedule of a pool and creates it if there is none.
func (s *Scheduler) schedule(now time.Time, pool membership.Pool) *schedule {
	name := pool.String()
	if row, ok := s.schedules[name]; ok {
		return row
	}
	if s.ledgers[name] == nil {
		s.ledgers[name] = share.NewLedger(pool.Model, name, s.incarnation)
	}
	row := newSchedule(now, pool, s.settings, s.ledgers[name], &s.number)
	row.weights = s.weights
	s.schedules[name] = row
	row.locate(now, s.view)
	s.replay(now, row)
	s.around[name] = neighbours(s.view, pool)
	return row
}

// sorted returns the schedules in the order of their names.
func (s *Scheduler) sorted() []*schedule {
	return slices.SortedFunc(maps.Values(s.schedules), func(a, b *schedule) int { return cmp.Compare(a.name, b.name) })
}

// SetWeights takes over the weights of all customers; a customer without one has the weight 1.
func (s *Scheduler) SetWeights(_ time.Time, weights map[uint32]uint32) {
	s.weights = weights
	for _, row := range s.schedules {
		row.weights = weights
	}
}

// ObserveLoad takes over a load report of a target.
func (s *Scheduler) ObserveLoad(now time.Time, target string, load outside.Load) {
	if old, ok := s.loads[target]; ok && !load.At.After(old.At) {
		return
	}
	s.loads[target] = load
	for _, row := range s.sorted() {
		row.observe(now, target, load)
	}
}

// Connected notes a new session; the peer announces its state again.
func (s *Scheduler) Connected(now time.Time, peer string, incarnation uint64) {
	if peer == s.self {
		return
	}
	s.Disconnected(now, peer)
	s.sessions[peer] = incarnation
}

// Disconnected notes the end of a session: the peer's demand and its loans are gone, its runs may go on.
func (s *Scheduler) Disconnected(now time.Time, host string) {
	if host == s.self {
		return
	}
	delete(s.sessions, host)
	for _, row := range s.sorted() {
		row.disconnect(now, host)
	}
	maps.DeleteFunc(s.peers, func(_ string, p *peer) bool { return p.host == host })
}

// reportParts is how many times a period the ledgers are looked through for due reports, which takes time in proportion
// to the customers in them.
const reportParts = 5

// Tick runs the systems over all tables and returns the messages to send.
func (s *Scheduler) Tick(now time.Time) []message.Envelope {
	out := newOutbox(s.sessions)
	for _, row := range s.sorted() {
		peers := s.peersOf(row)
		row.expire(now)
		row.place(now, peers)
		row.grant(now, out, peers)
		row.giveBack(out)
		row.lendIdle(now, out, peers)
		row.meter.roll(now)
		row.mark(now)
		row.summarise(now, out, s.around[row.name])
		if !now.Before(row.reportAt) {
			row.reportAt = now.Add(s.near / reportParts)
			out.others = append(out.others, row.ledger.Report(now, s.shards, s.route(row.pool.Model))...)
		}
	}
	out.others = append(out.others, s.owner.Tick(now)...)
	return out.envelopes()
}

// peersOf returns the other pools of a schedule's model that have sent a summary, in the order of their names.
func (s *Scheduler) peersOf(row *schedule) []*peer {
	if row.orphan {
		return nil
	}
	var out []*peer
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		if p := s.peers[name]; p.model == row.pool.Model && name != row.name {
			out = append(out, p)
		}
	}
	return out
}

// route returns who owns the customer shards of a model.
func (s *Scheduler) route(model string) share.Route {
	owners := s.owners[model]
	if owners == nil {
		owners = make([]string, s.shards)
		for shard := range owners {
			owners[shard] = share.OwnerOf(s.view, model, uint32(shard))
		}
		s.owners[model] = owners
	}
	region := s.view.Self().Region
	near := share.Period(s.near, s.shards)
	return func(shard uint32) (string, time.Duration) {
		owner := owners[shard]
		if _, connected := s.sessions[owner]; !connected {
			return "", 0
		}
		if router, _ := s.view.Router(owner); router.Region != region {
			return owner, max(near, s.far)
		}
		return owner, near
	}
}

// Status describes all pools that this router schedules, in the order of their names.
func (s *Scheduler) Status(now time.Time) []Status {
	out := make([]Status, 0, len(s.schedules))
	for _, row := range s.sorted() {
		status := Status{
			Pool:      row.name,
			Waiting:   len(row.demands),
			Customers: len(row.backlogs),
			Running:   len(row.runs),
			Free:      row.free(now),
			Rate:      row.meter.rate,
			Fraction:  row.fraction,
		}
		for _, l := range row.loans {
			status.Lent += l.left
		}
		for _, b := range row.borrowed {
			status.Borrowed += b.left
		}
		out = append(out, status)
	}
	return out
}

// Totals returns the fleet-wide service of the customers of a model as far as this router knows it, in weighted
// milli-units.
func (s *Scheduler) Totals(model string) map[uint32]uint64 {
	all := make(map[uint32]uint64)
	for _, row := range s.sorted() {
		if row.pool.Model != model {
			continue
		}
		for customer, counter := range row.ledger.Counters() {
			all[customer] = max(all[customer], counter)
		}
	}
	return all
}
