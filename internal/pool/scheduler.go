package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorydale/chicorydale/internal/accounting"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/message"
)

// Scheduler schedules all pools that the view assigns to one router, and owns the customer shards that the view assigns to it.
// It is not safe for concurrent use.
type Scheduler struct {
	settings
	// self is the name of the router.
	self        string
	incarnation uint64
	view        membership.View
	// weights holds the configured weights by customer.
	weights map[uint32]uint32
	// sessions holds the incarnation of each connected peer, and of the router itself.
	sessions map[string]uint64
	// pools and ledgers are by name of the pool. A ledger is kept when the pool's scheduler is dropped, because it counts
	// the service of this router's whole incarnation.
	pools   map[string]*poolScheduler
	ledgers map[string]*accounting.Ledger
	// loads holds the newest load report of each target.
	loads map[string]external.LoadReport
	// peerPools holds the other pools that have sent a summary, by name of the pool.
	peerPools map[string]*peerPool
	// neighbours holds the pools to which each pool sends its summaries, by name of the sending pool.
	neighbours map[string][]neighbour
	// shardCount is the number of customer shards of each model.
	shardCount uint32
	// shardOwners caches the owner of each customer shard, by model.
	shardOwners map[string][]string
	// shardOwner holds the customer shards that this router owns.
	shardOwner *accounting.Owner
	// lastNumber is the last number of a grant or loan.
	lastNumber uint64
}

// New returns a scheduler without pools for the router self. The router always has a session with itself.
func New(self string, incarnation uint64, options ...Option) *Scheduler {
	s := &Scheduler{
		settings:    settings{regionPeriod: 250 * time.Millisecond, crossRegionPeriod: time.Second, grantTTL: 2 * time.Second},
		self:        self,
		incarnation: incarnation,
		sessions:    map[string]uint64{self: incarnation},
		pools:       make(map[string]*poolScheduler),
		ledgers:     make(map[string]*accounting.Ledger),
		loads:       make(map[string]external.LoadReport),
		peerPools:   make(map[string]*peerPool),
		neighbours:  make(map[string][]neighbour),
		shardOwners: make(map[string][]string),
		shardOwner:  accounting.NewOwner(),
		shardCount:  1,
		lastNumber:  initialNumber(self, incarnation),
	}
	for _, option := range options {
		option(&s.settings)
	}
	return s
}

// initialNumber returns the number after which the grants and loans of an incarnation are numbered. An entry router may have
// grants of several schedulers of one pool at the same time, so two incarnations should not use the same numbers. The number is
// below 2^20 because small numbers take fewer bytes in messages.
func initialNumber(self string, incarnation uint64) uint64 {
	var seed [8]byte
	for i := range seed {
		seed[i] = byte(incarnation >> (8 * i))
	}
	return xxhash.Sum64(append([]byte(self), seed[:]...)) % (1 << 20)
}

// UpdateView replaces the view. It starts to schedule the pools that the view assigns to this router, and drops other pools once
// they are idle.
func (s *Scheduler) UpdateView(now time.Time, view membership.View) {
	s.view = view
	s.shardCount = accounting.ShardCount(view)
	clear(s.shardOwners)
	s.shardOwner.UpdateView(view)
	clear(s.neighbours)
	for _, model := range view.Models() {
		for _, pool := range view.Pools(model) {
			if view.Scheduler(pool) == s.self {
				s.ensurePool(now, pool)
			}
		}
	}
	for _, ps := range s.sortedPools() {
		ps.applyView(now, view)
		if ps.unassigned && ps.idle() {
			delete(s.pools, ps.name)
			continue
		}
		s.applyKnownLoads(now, ps)
		s.neighbours[ps.name] = neighboursOf(view, ps.pool)
	}
	maps.DeleteFunc(s.loads, func(name string, _ external.LoadReport) bool {
		_, found := view.Target(name)
		return !found
	})
}

// applyKnownLoads applies the newest load reports of the targets of a pool, if they are recent enough.
func (s *Scheduler) applyKnownLoads(now time.Time, ps *poolScheduler) {
	for _, t := range ps.targets {
		if load, ok := s.loads[t.name]; ok && now.Sub(load.MeasuredAt) < loadTTL {
			ps.applyLoad(now, t.name, load)
		}
	}
}

// ensurePool returns the scheduler of a pool and creates it if there is none.
func (s *Scheduler) ensurePool(now time.Time, pool membership.Pool) *poolScheduler {
	name := pool.String()
	if ps, ok := s.pools[name]; ok {
		return ps
	}
	if s.ledgers[name] == nil {
		s.ledgers[name] = accounting.NewLedger(pool.Model, name, s.incarnation)
	}
	ps := newPoolScheduler(now, pool, s.settings, s.ledgers[name], &s.lastNumber)
	ps.weights = s.weights
	s.pools[name] = ps
	ps.applyView(now, s.view)
	s.applyKnownLoads(now, ps)
	s.neighbours[name] = neighboursOf(s.view, pool)
	return ps
}

// sortedPools returns the pool schedulers, sorted by name of the pool.
func (s *Scheduler) sortedPools() []*poolScheduler {
	return slices.SortedFunc(maps.Values(s.pools), func(a, b *poolScheduler) int { return cmp.Compare(a.name, b.name) })
}

// SetWeights replaces the weights of all customers. A customer without a weight has the weight 1. The map is kept, not copied.
func (s *Scheduler) SetWeights(_ time.Time, weights map[uint32]uint32) {
	s.weights = weights
	for _, ps := range s.pools {
		ps.weights = weights
	}
}

// ObserveLoad applies a load report of a target. A report that is not newer than the last one is ignored.
func (s *Scheduler) ObserveLoad(now time.Time, target string, load external.LoadReport) {
	if old, ok := s.loads[target]; ok && !load.MeasuredAt.After(old.MeasuredAt) {
		return
	}
	s.loads[target] = load
	for _, ps := range s.sortedPools() {
		ps.applyLoad(now, target, load)
	}
}

// Connected is called when a session with a peer has begun. The state of an earlier session is dropped, since the peer announces
// its state again.
func (s *Scheduler) Connected(now time.Time, peer string, incarnation uint64) {
	if peer == s.self {
		return
	}
	s.Disconnected(now, peer)
	s.sessions[peer] = incarnation
}

// Disconnected is called when the session with a peer has ended. The peer's demands, its pools' summaries and the slots borrowed
// from it are dropped. Its runs are kept, because they may still be on the targets.
func (s *Scheduler) Disconnected(now time.Time, peer string) {
	if peer == s.self {
		return
	}
	delete(s.sessions, peer)
	for _, ps := range s.sortedPools() {
		ps.disconnectRouter(now, peer)
	}
	maps.DeleteFunc(s.peerPools, func(_ string, p *peerPool) bool { return p.host == peer })
}

// reportChecksPerPeriod is how many times per region period the ledgers are checked for due reports. A check takes time in
// proportion to the customers with changes in the ledger.
const reportChecksPerPeriod = 5

// Tick expires old entries, grants and lends free slots in all pools, and returns the messages to send.
func (s *Scheduler) Tick(now time.Time) []message.Envelope {
	out := newOutbox(s.sessions)
	for _, ps := range s.sortedPools() {
		peers := s.peerPoolsOf(ps)
		ps.expire(now)
		ps.updateFloors(now, peers)
		ps.grantSlots(now, out, peers)
		ps.returnBorrowed(out)
		ps.lendIdle(now, out, peers)
		ps.meter.update(now)
		ps.requestTotals(now)
		ps.sendSummaries(now, out, s.neighbours[ps.name])
		if !now.Before(ps.nextReportCheck) {
			ps.nextReportCheck = now.Add(s.regionPeriod / reportChecksPerPeriod)
			out.unbatched = append(out.unbatched, ps.ledger.DueReports(now, s.shardCount, s.shardRoute(ps.pool.Model))...)
		}
	}
	out.unbatched = append(out.unbatched, s.shardOwner.Tick(now)...)
	return out.envelopes()
}

// peerPoolsOf returns the other pools of the same model that have sent a summary, sorted by name. It returns none for a pool that
// the view does not assign to this router.
func (s *Scheduler) peerPoolsOf(ps *poolScheduler) []*peerPool {
	if ps.unassigned {
		return nil
	}
	var peers []*peerPool
	for _, name := range slices.Sorted(maps.Keys(s.peerPools)) {
		if p := s.peerPools[name]; p.model == ps.pool.Model && name != ps.name {
			peers = append(peers, p)
		}
	}
	return peers
}

// shardRoute returns the function that gives the owner and the report period of each customer shard of a model.
func (s *Scheduler) shardRoute(model string) accounting.RouteFunc {
	owners := s.shardOwners[model]
	if owners == nil {
		owners = make([]string, s.shardCount)
		for shard := range owners {
			owners[shard] = accounting.OwnerOf(s.view, model, uint32(shard))
		}
		s.shardOwners[model] = owners
	}
	region := s.view.Self().Region
	regionPeriod := accounting.ReportPeriod(s.regionPeriod, s.shardCount)
	return func(shard uint32) (string, time.Duration) {
		owner := owners[shard]
		if _, connected := s.sessions[owner]; !connected {
			return "", 0
		}
		if router, _ := s.view.Router(owner); router.Region != region {
			return owner, max(regionPeriod, s.crossRegionPeriod)
		}
		return owner, regionPeriod
	}
}

// Status returns the status of all pools that this router schedules, sorted by name.
func (s *Scheduler) Status(now time.Time) []Status {
	statuses := make([]Status, 0, len(s.pools))
	for _, ps := range s.sortedPools() {
		status := Status{
			Pool:              ps.name,
			Waiting:           len(ps.demands),
			Customers:         len(ps.queues),
			Running:           len(ps.runs),
			Free:              ps.freeLongSlots(now),
			Rate:              ps.meter.rate,
			ReachableFraction: ps.reachableFraction,
		}
		for _, l := range ps.loans {
			status.Lent += l.remaining
		}
		for _, b := range ps.borrowed {
			status.Borrowed += b.remaining
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// CustomerTotals returns the fleet-wide service of each customer of a model, as far as this router knows it, in weighted
// milli-units.
func (s *Scheduler) CustomerTotals(model string) map[uint32]uint64 {
	totals := make(map[uint32]uint64)
	for _, ps := range s.sortedPools() {
		if ps.pool.Model != model {
			continue
		}
		for customer, counter := range ps.ledger.Counters() {
			totals[customer] = max(totals[customer], counter)
		}
	}
	return totals
}
