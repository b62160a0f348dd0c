package measure

import (
	"fmt"
	"time"
)

const (
	// timeStep is the granularity of virtual time.
	timeStep = time.Millisecond
	// failoverDelay is the time after which a caller whose router is down turns to another one.
	failoverDelay = time.Second
	// reconnectTimeout is how long a router tries to reach the target of a running call again, as in the router process.
	reconnectTimeout = 900 * time.Millisecond
	// drainTimeout bounds the time after the last arrival in which running jobs may end. The longest answer needs 160 s.
	drainTimeout = 200 * time.Second
	// routerDowntime is the time between the death of a router and its next start.
	routerDowntime = 3 * time.Second
	// maxBookingRetries is how often a caller sends a booking again before it gives up.
	maxBookingRetries = 20
)

// simulationStart is the wall-clock time at virtual time zero.
var simulationStart = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// simulation runs one load under one policy: engines, callers and faults in virtual time. It is not safe for concurrent
// use.
type simulation struct {
	eventQueue
	deployment   Deployment
	scenario     Scenario
	loadDuration time.Duration
	jobs         []*job
	engines      []*engine
	engineByName map[string]*engine
	// incarnations counts the starts of each router; routerAlive tells which routers run.
	incarnations []int
	routerAlive  []bool
	// isolatedZone is the index of the availability zone without connections to the others, -1 for none.
	isolatedZone int
	isLogDown    bool
	// isIdeal is set for the ideal queue, which has neither latencies nor faults of routers and zones.
	isIdeal  bool
	policy   policy
	recorder *recorder
	// routerToKill is the index of the router that faultKillRouter kills.
	routerToKill    int
	arrivalsStopped bool
}

// newSimulation returns a simulation before its first step.
func newSimulation(d Deployment, s Scenario, policyName string, seed uint64, loadDuration time.Duration) *simulation {
	sim := &simulation{
		deployment: d, scenario: s, loadDuration: loadDuration, jobs: generateJobs(d, s, seed, loadDuration),
		engineByName: make(map[string]*engine), incarnations: make([]int, zoneCount*d.RoutersPerZone),
		routerAlive: make([]bool, zoneCount*d.RoutersPerZone), isolatedZone: -1,
	}
	sim.recorder = newRecorder(sim)
	for zone := range zoneCount {
		for i := range d.EnginesPerZone + 1 {
			e := &engine{name: fmt.Sprintf("target-%d-%d", zone, i), zone: zone, isService: i == d.EnginesPerZone}
			sim.engines = append(sim.engines, e)
			sim.engineByName[e.name] = e
			sim.schedule(time.Duration(len(sim.engines)*7)*time.Millisecond, func() { sim.takeLoadReport(e) })
		}
	}
	sim.policy = newPolicy(policyName, sim)
	for router := range sim.incarnations {
		sim.startRouter(router)
	}
	sim.scheduleArrivalsAndFaults()
	return sim
}

// startRouter starts a router as a new incarnation.
func (sim *simulation) startRouter(router int) {
	sim.incarnations[router]++
	sim.routerAlive[router] = true
	sim.policy.routerStarted(router)
}

// takeLoadReport takes a load report of an engine, which is published after loadReportDelay, and schedules the next.
func (sim *simulation) takeLoadReport(e *engine) {
	load, at := len(e.running), sim.now
	sim.schedule(loadReportDelay, func() {
		e.reportedLoad, e.reportedAt = load, at
		sim.policy.loadReported(e)
	})
	sim.schedule(loadReportPeriod, func() { sim.takeLoadReport(e) })
}

// scheduleArrivalsAndFaults schedules all arrivals, the fault of the scenario and the end of the arrivals.
func (sim *simulation) scheduleArrivalsAndFaults() {
	for _, j := range sim.jobs {
		sim.schedule(j.arrival, func() {
			sim.recorder.openJobs++
			sim.sendToRouter(j)
		})
	}
	from, to := startupTime+sim.warmUpTime(), startupTime+3*sim.loadDuration/4
	switch sim.scenario.fault {
	case faultKillRouter:
		sim.schedule(from, func() { sim.killRouter(sim.routerToKill) })
	case faultIsolateRegion:
		sim.schedule(from, func() { sim.isolateZone(zoneCount - 1) })
		sim.schedule(to, func() { sim.isolatedZone = -1 })
	case faultLogDown:
		sim.schedule(from, func() { sim.isLogDown = true })
		sim.schedule(to, func() { sim.isLogDown = false })
	default:
	}
	sim.schedule(startupTime+sim.loadDuration, sim.stopArrivals)
}

// run advances virtual time until all jobs have ended, or drainTimeout after the last arrival.
func (sim *simulation) run() {
	for sim.now < startupTime+sim.loadDuration+drainTimeout && (!sim.arrivalsStopped || sim.recorder.openJobs > 0) {
		sim.advance(sim.now + timeStep)
		for _, e := range sim.engines {
			e.step(timeStep.Seconds(), sim.recordService, sim.completeAttempt)
		}
		sim.policy.step()
		sim.recorder.step()
	}
}

// currentTime returns the simulated wall-clock time.
func (sim *simulation) currentTime() time.Time { return simulationStart.Add(sim.now) }

// recordService records units that an engine has served, and on the first call when the first token reaches the caller.
func (sim *simulation) recordService(a *attempt, units float64) {
	if a.job.firstTokenAt == 0 {
		a.job.firstTokenAt = sim.now + sim.responseLatency(a)
	}
	sim.recorder.addService(a.job, units)
}

// responseLatency returns the latency from an attempt's engine through its router to the caller.
func (sim *simulation) responseLatency(a *attempt) time.Duration {
	if sim.isIdeal {
		return 0
	}
	return sim.deployment.latencyBetween(a.engine.zone, sim.deployment.zoneOf(a.router)) + sim.deployment.CallerLatency
}

// sendToRouter submits a job to its router. If the router is down, the caller tries the next one after failoverDelay.
func (sim *simulation) sendToRouter(j *job) {
	j.isResending = false
	if sim.arrivalsStopped {
		sim.refuse(j, "withdrawn")
		return
	}
	if !sim.routerAlive[j.router] && !sim.isIdeal {
		j.router = (j.router + 1) % len(sim.routerAlive)
		sim.resendAfter(j, failoverDelay)
		return
	}
	sim.policy.submit(j)
}

// retryBooking makes the caller of a booking send it again with the same key, and refuses the booking after
// maxBookingRetries.
func (sim *simulation) retryBooking(j *job, delay time.Duration, code string) {
	if j.retries++; j.retries > maxBookingRetries {
		sim.refuse(j, code)
		return
	}
	sim.recorder.bookingRetries++
	sim.resendAfter(j, max(delay, 10*time.Millisecond))
}

// resendAfter makes the caller send a job again after a delay.
func (sim *simulation) resendAfter(j *job, delay time.Duration) {
	j.isResending = true
	sim.schedule(delay, func() { sim.sendToRouter(j) })
}

// canReach reports whether a router and an availability zone can communicate.
func (sim *simulation) canReach(router, zone int) bool {
	return sim.isIdeal || sim.zonesConnected(sim.deployment.zoneOf(router), zone)
}

// zonesConnected reports whether two availability zones can communicate.
func (sim *simulation) zonesConnected(a, b int) bool {
	return a == b || a != sim.isolatedZone && b != sim.isolatedZone
}

// sendToEngine starts an attempt to run a job on an engine.
func (sim *simulation) sendToEngine(j *job, e *engine, grant uint64) {
	sim.recorder.setWaiting(j, false)
	a := &attempt{job: j, engine: e, router: j.router, incarnation: sim.incarnations[j.router], grantNumber: grant}
	a.prefillLeft = float64(j.promptTokens) / prefillTokensPerSecond
	j.attempt = a
	if sim.isIdeal {
		e.admit(a)
		return
	}
	if !sim.canReach(j.router, e.zone) {
		sim.schedule(timeStep, func() {
			if sim.isSenderRunning(a) {
				sim.policy.attemptUnreachable(a)
			}
		})
		return
	}
	e.inFlight++
	sim.schedule(sim.deployment.latencyBetween(sim.deployment.zoneOf(j.router), e.zone), func() {
		e.inFlight--
		e.admit(a)
	})
}

// isSenderRunning reports whether the router that sent an attempt has run without a restart since.
func (sim *simulation) isSenderRunning(a *attempt) bool {
	return sim.isIdeal || sim.routerAlive[a.router] && sim.incarnations[a.router] == a.incarnation
}

// completeAttempt sends the answer of a completed attempt back to its router.
func (sim *simulation) completeAttempt(a *attempt) {
	a.job.completions++
	sim.schedule(sim.responseLatency(a)-sim.callerLatency(), func() {
		if a.isCutOff || !sim.canReach(a.router, a.engine.zone) {
			return
		}
		switch {
		case sim.isSenderRunning(a):
			if sim.policy.attemptCompleted(a) {
				sim.answer(a.job)
			}
		case !a.job.isService:
			sim.answer(a.job) // The caller has attached to the stream through another router.
		}
	})
}

// callerLatency returns the one-way latency between a router and its callers.
func (sim *simulation) callerLatency() time.Duration {
	if sim.isIdeal {
		return 0
	}
	return sim.deployment.CallerLatency
}

// answer ends a job with a complete answer that the caller receives after callerLatency.
func (sim *simulation) answer(j *job) { sim.recorder.recordAnswer(j, sim.now+sim.callerLatency()) }

// refuse ends a job without an answer. The code is that of the refusal.
func (sim *simulation) refuse(j *job, code string) {
	sim.recorder.setWaiting(j, false)
	sim.recorder.recordRefusal(j, code)
}

// killRouter kills a router and starts it again after routerDowntime. Callers of its waiting jobs and of its service
// calls turn to another router; running model calls go on, because their callers attach to the stream elsewhere.
func (sim *simulation) killRouter(router int) {
	if sim.isIdeal {
		return
	}
	sim.routerAlive[router] = false
	sim.policy.routerKilled(router)
	for _, j := range sim.jobs {
		if j.router != router || j.hasEnded || j.isResending || j.arrival > sim.now || j.attempt != nil && !j.isService {
			continue
		}
		sim.recorder.setWaiting(j, false)
		j.attempt = nil
		sim.resendAfter(j, failoverDelay)
	}
	sim.schedule(routerDowntime, func() { sim.startRouter(router) })
}

// isolateZone disconnects an availability zone from the others. Calls across the boundary fail after reconnectTimeout.
func (sim *simulation) isolateZone(zone int) {
	if sim.isIdeal {
		return
	}
	sim.isolatedZone = zone
	sim.policy.zoneIsolated()
	sim.schedule(reconnectTimeout, func() {
		for _, j := range sim.jobs {
			if a := j.attempt; a != nil && !j.hasEnded && !sim.canReach(a.router, a.engine.zone) {
				a.isCutOff = true
				sim.policy.attemptCutOff(a)
				sim.refuse(j, "target_failed")
			}
		}
	})
}

// stopArrivals ends the load. Callers of waiting jobs give up.
func (sim *simulation) stopArrivals() {
	sim.arrivalsStopped = true
	for _, j := range sim.jobs {
		if !j.hasEnded && j.attempt == nil && sim.policy.cancel(j) {
			sim.refuse(j, "withdrawn")
		}
	}
}
