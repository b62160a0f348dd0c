package measure

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/node"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/requestqueue"
)

// Periods and timeouts of the router process.
const (
	// tickPeriod is the least time between two ticks of a node, and idleTickPeriod that without input to the node.
	tickPeriod     = 10 * time.Millisecond
	idleTickPeriod = 100 * time.Millisecond
	// maintenancePeriod is the time between two calls of maintain.
	maintenancePeriod = 250 * time.Millisecond
	// logPollPeriod is the time between two checks for new records, and idleLogReadPeriod that between two reads of a
	// stream without any.
	logPollPeriod     = 5 * time.Millisecond
	idleLogReadPeriod = time.Second
	// retryDelay is the time before a failed log read, and the least time before a refused booking, is tried again.
	retryDelay = 500 * time.Millisecond
	// storeTimeout is how long the answer to a booking waits until the log has stored it.
	storeTimeout = time.Second
)

// pendingStore is a completed booking whose answer is being stored. Its caller is answered by the deadline at the
// latest.
type pendingStore struct {
	job      *job
	deadline time.Duration
}

// logReader is the state of reading one log stream.
type logReader struct {
	isReading bool
	// reachedEnd is set once the last read succeeded; lastReadAt is the instant of that read.
	reachedEnd bool
	lastReadAt time.Duration
}

// routerDriver does for one node what the router process does: it ticks the node, carries out its output and reads the
// log.
type routerDriver struct {
	product     *product
	sim         *simulation
	index       int
	incarnation int
	node        *node.Node
	// needsTick is set if the node has had input since its last tick.
	needsTick       bool
	lastTick        time.Duration
	lastMaintenance time.Duration
	lastLogPoll     time.Duration
	// jobsByRequestID holds the jobs that are in the node's queue or running.
	jobsByRequestID map[uint64]*job
	// pendingClaims holds the bookings that wait for the verdict on their claim, by claim ID.
	pendingClaims map[string]*job
	pendingStores []pendingStore
	logReaders    map[string]*logReader
}

// newRouterDriver starts a router. The first ticks of the routers are spread by 1 ms each.
func newRouterDriver(p *product, index int) *routerDriver {
	sim := p.sim
	zone := zoneName(sim.deployment.zoneOf(index))
	self := membership.Router{Name: routerName(index), Region: zone, Zone: zone, State: membership.Up}
	r := &routerDriver{
		product: p, sim: sim, index: index, incarnation: sim.incarnations[index],
		lastTick:        sim.now - time.Duration(index)*time.Millisecond,
		node:            node.New(self, uint64(sim.incarnations[index]), node.WithSeed(uint64(index+1))),
		jobsByRequestID: make(map[uint64]*job), pendingClaims: make(map[string]*job), logReaders: make(map[string]*logReader),
	}
	r.node.SetHostList(sim.currentTime(), p.hosts)
	return r
}

// isAlive reports whether the router still runs and has not been restarted since this driver was made.
func (r *routerDriver) isAlive() bool {
	return r.sim.routerAlive[r.index] && r.sim.incarnations[r.index] == r.incarnation
}

// customerNumber returns the number that the configuration gave to a job's customer.
func (r *routerDriver) customerNumber(j *job) uint32 {
	customer, _ := r.node.Store().State().Customer(customerName(j.customer))
	return customer.Number
}

// enqueue submits a job to the node's queue.
func (r *routerDriver) enqueue(j *job) {
	request := requestqueue.Request{
		Customer: r.customerNumber(j), Model: j.modelOrServiceName(), Class: j.class.name, IsService: j.isService,
		PromptTokens: j.promptTokens, MaxTokens: j.maxTokens, BodyBytes: 4 * j.promptTokens,
	}
	if j.isService {
		request.Deadline = r.sim.currentTime().Add(invokeTimeout)
	}
	id, refused := r.node.Queue().Submit(r.sim.currentTime(), request)
	if refused != nil {
		r.handleRefusal(j, refused)
		return
	}
	j.requestID = id
	r.jobsByRequestID[id] = j
	r.sim.recorder.setWaiting(j, true)
}

// abandonClaim abandons the claim of a booking. It does nothing for other jobs.
func (r *routerDriver) abandonClaim(j *job) {
	if j.idempotencyKey != "" {
		r.node.Claimer().Abandon(r.sim.currentTime(), j.claimID)
	}
}

// handleRefusal ends a refused job. A booking is sent again by its caller, with the same key.
func (r *routerDriver) handleRefusal(j *job, refused *refusal.Error) {
	r.abandonClaim(j)
	r.sim.recorder.setWaiting(j, false)
	if j.idempotencyKey == "" {
		r.sim.refuse(j, string(refused.Code))
		return
	}
	delay := retryDelay
	if !refused.RetryAt.IsZero() {
		delay = max(delay, refused.RetryAt.Sub(r.sim.currentTime()))
	}
	r.sim.retryBooking(j, delay, string(refused.Code))
}

// step reads the log and ticks the node when they are due.
func (r *routerDriver) step() {
	sim := r.sim
	if sim.now-r.lastLogPoll >= logPollPeriod {
		r.lastLogPoll = sim.now
		r.pollLog()
	}
	if sinceTick := sim.now - r.lastTick; sinceTick < tickPeriod || !r.needsTick && sinceTick < idleTickPeriod {
		return
	}
	r.lastTick, r.needsTick = sim.now, false
	if sim.now-r.lastMaintenance >= maintenancePeriod {
		r.lastMaintenance = sim.now
		r.maintain()
	}
	r.applyOutput(r.node.Tick(sim.currentTime()))
}

// maintain opens wanted sessions and reports the progress of running requests.
func (r *routerDriver) maintain() {
	now := r.sim.currentTime()
	for _, peer := range r.node.WantedPeers(now) {
		r.product.links.open(r.index, r.product.routerIndexes[peer])
	}
	for _, id := range r.sortedRequestIDs() {
		if a := r.jobsByRequestID[id].attempt; a != nil && a.servedUnits() > 0 {
			r.node.Queue().RecordProgress(now, id, milliUnits(a.servedUnits()))
		}
	}
}

// applyOutput carries out what a tick of the node asks for.
func (r *routerDriver) applyOutput(output node.Output) {
	for _, packet := range output.Packets {
		r.product.links.send(r.index, packet)
	}
	for _, request := range output.Appends {
		r.product.log.append(r.index, request.Stream, request.Data, func(err error) {
			if r.isAlive() {
				r.node.Appended(r.sim.currentTime(), request.ID, err)
				r.needsTick = true
			}
		})
	}
	for _, decision := range output.Decisions {
		r.applyDecision(decision)
	}
	for _, verdict := range output.ClaimVerdicts {
		r.applyVerdict(verdict)
	}
	remaining := r.pendingStores[:0]
	for _, s := range r.pendingStores {
		if r.node.Claimer().IsOpen(s.job.claimID) && r.sim.now < s.deadline {
			remaining = append(remaining, s)
			continue
		}
		r.sim.answer(s.job)
	}
	r.pendingStores = remaining
}

// applyDecision sends a granted job to its target, or handles its refusal.
func (r *routerDriver) applyDecision(decision requestqueue.Decision) {
	j, now := r.jobsByRequestID[decision.RequestID], r.sim.currentTime()
	if j == nil {
		return
	}
	r.needsTick = true
	switch {
	case decision.Refusal != nil:
		delete(r.jobsByRequestID, decision.RequestID)
		r.handleRefusal(j, decision.Refusal)
	case !now.Before(decision.GrantDeadline):
		r.node.Queue().Requeue(now, j.requestID, fleetpb.Outcome_OUTCOME_UNUSED, nil, false)
	case j.idempotencyKey != "" && !r.node.Claimer().AuthorizeSend(now, j.claimID):
		delete(r.jobsByRequestID, decision.RequestID)
		r.node.Queue().Finish(now, j.requestID, 0, fleetpb.Outcome_OUTCOME_UNUSED)
		r.handleRefusal(j, refusal.New(refusal.Expired, "the claim of the key has lapsed"))
	default:
		r.sim.sendToEngine(j, r.sim.engineByName[decision.Target], decision.GrantNumber)
	}
}

// applyVerdict continues a booking after the verdict on its claim.
func (r *routerDriver) applyVerdict(verdict claim.Verdict) {
	j := r.pendingClaims[verdict.ClaimID]
	if j == nil {
		return
	}
	delete(r.pendingClaims, verdict.ClaimID)
	r.needsTick = true
	switch verdict.Outcome {
	case claim.OutcomeHeld:
		r.enqueue(j)
	case claim.OutcomeReplay:
		r.sim.answer(j)
	default:
		r.handleRefusal(j, verdict.Refusal())
	}
}

// pollLog starts a read of each log stream that the node wants and that has new records or was last read
// idleLogReadPeriod ago.
func (r *routerDriver) pollLog() {
	sim := r.sim
	for _, position := range r.node.Positions() {
		reader := r.logReaders[position.Stream]
		if reader == nil {
			reader = &logReader{}
			r.logReaders[position.Stream] = reader
		}
		hasNewRecords := uint64(len(r.product.log.streams[position.Stream])) > position.Offset
		if reader.isReading || reader.reachedEnd && !hasNewRecords && sim.now-reader.lastReadAt < idleLogReadPeriod {
			continue
		}
		reader.isReading = true
		sim.schedule(2*logLatency, func() { r.finishLogRead(reader, position.Stream) })
	}
}

// finishLogRead hands the result of a read to the node.
func (r *routerDriver) finishLogRead(reader *logReader, stream string) {
	if !r.isAlive() {
		return
	}
	sim := r.sim
	r.needsTick = true
	if !r.product.log.isReachable(r.index) {
		r.node.ReadFailed(sim.currentTime(), stream)
		reader.reachedEnd = false
		sim.schedule(retryDelay, func() { reader.isReading = false })
		return
	}
	reader.isReading, reader.reachedEnd, reader.lastReadAt = false, true, sim.now
	for _, position := range r.node.Positions() {
		if position.Stream == stream {
			r.node.Page(sim.currentTime(), stream, r.product.log.readFrom(stream, position.Offset))
		}
	}
}
