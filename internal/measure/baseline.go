package measure

// baseline is a policy without exchange between the routers: each router, or one ideal queue for the whole fleet,
// schedules its own waiting jobs.
type baseline struct {
	sim       *simulation
	selectJob selectFunc
	// slotShare returns how many slots of an engine a router may use. If it is nil, the router goes by the load reports.
	slotShare func(sim *simulation, router, engine int) int
	queues    []*baselineQueue
}

// newBaseline returns a baseline. The ideal one has a single queue that knows the cost of every job, and is exempt from
// latencies and faults.
func newBaseline(
	sim *simulation, isIdeal bool, selectJob selectFunc, slotShare func(sim *simulation, router, engine int) int,
) *baseline {
	b := &baseline{sim: sim, selectJob: selectJob, slotShare: slotShare}
	sim.isIdeal = isIdeal
	if isIdeal {
		b.queues = []*baselineQueue{newBaselineQueue(sim, true)}
		return b
	}
	for range sim.incarnations {
		b.queues = append(b.queues, nil)
	}
	return b
}

// queueOf returns the queue in which the jobs of a router wait. It is nil while the router is down.
func (b *baseline) queueOf(router int) *baselineQueue {
	if b.sim.isIdeal {
		return b.queues[0]
	}
	return b.queues[router]
}

// submit adds a job to the queue of its router.
func (b *baseline) submit(j *job) {
	b.queueOf(j.router).add(j)
	b.sim.recorder.setWaiting(j, true)
}

// cancel removes a waiting job and reports whether it was waiting.
func (b *baseline) cancel(j *job) bool {
	q := b.queueOf(j.router)
	return q != nil && q.remove(j)
}

// attemptCompleted replaces the estimated cost of a completed attempt by its actual cost. The caller is answered at
// once.
func (b *baseline) attemptCompleted(a *attempt) bool {
	b.queueOf(a.router).finishAttempt(a)
	return true
}

// attemptUnreachable queues the job again after an attempt that did not reach its engine.
func (b *baseline) attemptUnreachable(a *attempt) {
	b.queueOf(a.router).finishAttempt(a)
	a.job.attempt = nil
	b.submit(a.job)
}

// attemptCutOff charges an interrupted attempt for what it was served, if its router has not restarted since.
func (b *baseline) attemptCutOff(a *attempt) {
	if b.sim.isSenderRunning(a) {
		b.queueOf(a.router).finishAttempt(a)
	}
}

// loadReported does nothing, because the queue reads the newest report when it dispatches a job.
func (b *baseline) loadReported(*engine) {}

// routerKilled discards the queue of a router.
func (b *baseline) routerKilled(router int) { b.queues[router] = nil }

// routerStarted gives a router an empty queue. The ideal queue is kept.
func (b *baseline) routerStarted(router int) {
	if !b.sim.isIdeal {
		b.queues[router] = newBaselineQueue(b.sim, false)
	}
}

// zoneIsolated does nothing, because the routers of a baseline have no sessions.
func (b *baseline) zoneIsolated() {}

// step dispatches jobs while a router knows of free slots, model calls first.
func (b *baseline) step() {
	for router, q := range b.queues {
		if q == nil {
			continue
		}
		for _, isService := range []bool{false, true} {
			for q.waitingCount(isService) > 0 {
				engine := b.engineWithMostFreeSlots(q, router, isService)
				if engine < 0 {
					break
				}
				b.dispatch(q, b.selectJob(q, isService), engine)
			}
		}
	}
}

// dispatch sends a job to the engine with the given index.
func (b *baseline) dispatch(q *baselineQueue, j *job, engine int) {
	q.remove(j)
	q.charge(j)
	q.ownRunning[engine]++
	q.sentAt[engine] = append(q.sentAt[engine], b.sim.now)
	b.sim.sendToEngine(j, b.sim.engines[engine], 0)
}

// engineWithMostFreeSlots returns the index of the engine with the most free slots as far as the router knows, or -1 if
// there is none.
func (b *baseline) engineWithMostFreeSlots(q *baselineQueue, router int, isService bool) int {
	best, most := -1, 0
	for index, e := range b.sim.engines {
		if e.isService != isService || !b.sim.canReach(router, e.zone) {
			continue
		}
		var free int
		switch {
		case b.sim.isIdeal:
			free = slotsPerEngine - len(e.running)
		case b.slotShare != nil:
			free = b.slotShare(b.sim, router, index) - q.ownRunning[index]
		default:
			free = slotsPerEngine - max(q.ownRunning[index], e.reportedLoad+q.sentSince(index, e.reportedAt))
		}
		if free > most {
			best, most = index, free
		}
	}
	return best
}

// fixedSlotShare assigns the slots of all engines to the routers in turn and returns how many of an engine's slots a
// router has.
func fixedSlotShare(sim *simulation, router, engine int) int {
	share := 0
	for slot := range slotsPerEngine {
		if (engine*slotsPerEngine+slot)%len(sim.incarnations) == router {
			share++
		}
	}
	return share
}
