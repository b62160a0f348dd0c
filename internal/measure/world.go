package measure

import (
	"fmt"
	"time"
)

const (
	// tick is the step of virtual time.
	tick = time.Millisecond
	// failover is the time after which a caller whose router died calls another one.
	failover = time.Second
	// breakTime is how long a router tries to reach a running call again; it is that of the router process.
	breakTime = 900 * time.Millisecond
	// drain bounds the time after the last arrival in which running jobs may end: the longest answer needs 160 s.
	drain = 200 * time.Second
	// downTime is how long a killed router is away.
	downTime = 3 * time.Second
	// bookingRetries is the number of times that a caller sends a booking again.
	bookingRetries = 20
)

// start is the first instant of all runs.
var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// world is one run: engines, callers and faults in virtual time.
type world struct {
	calendar
	deployment Deployment
	scenario   Scenario
	length     time.Duration
	jobs       []*job
	engines    []*engine
	byName     map[string]*engine
	// lives counts the starts of each router; alive tells which ones run.
	lives []int
	alive []bool
	// isolated is the availability zone that is cut off, -1 for none.
	isolated int
	logDown  bool
	// immune is set for the ideal queue, which has neither latencies nor faults.
	immune bool
	policy policy
	record *record
	// victim is the router to kill.
	victim  int
	stopped bool
}

// newWorld returns the world of a run before its first step.
func newWorld(d Deployment, s Scenario, name string, seed uint64, length time.Duration) *world {
	w := &world{
		deployment: d, scenario: s, length: length, jobs: workload(d, s, seed, length), byName: make(map[string]*engine),
		lives: make([]int, zones*d.Routers), alive: make([]bool, zones*d.Routers), isolated: -1,
	}
	w.record = newRecord(w)
	for zone := range zones {
		for i := range d.Engines + 1 {
			e := &engine{name: fmt.Sprintf("target-%d-%d", zone, i), zone: zone, service: i == d.Engines}
			w.engines = append(w.engines, e)
			w.byName[e.name] = e
			w.after(time.Duration(len(w.engines)*7)*time.Millisecond, func() { w.report(e) })
		}
	}
	w.policy = newPolicy(name, w)
	for router := range w.lives {
		w.boot(router)
	}
	w.plan()
	return w
}

// boot starts a router.
func (w *world) boot(router int) {
	w.lives[router]++
	w.alive[router] = true
	w.policy.restart(router)
}

// report takes a load report, which is published after its lag.
func (w *world) report(e *engine) {
	load, at := len(e.running), w.now
	w.after(reportLag, func() {
		e.load, e.loadAt = load, at
		w.policy.reported(e)
	})
	w.after(reportPeriod, func() { w.report(e) })
}

// plan puts arrivals and faults into the calendar.
func (w *world) plan() {
	for _, j := range w.jobs {
		w.after(j.arrival, func() {
			w.record.open++
			w.call(j)
		})
	}
	from, to := boot+w.warmUp(), boot+3*w.length/4
	switch w.scenario.fault {
	case killRouter:
		w.after(from, func() { w.kill(w.victim) })
	case cutRegion:
		w.after(from, func() { w.cut(zones - 1) })
		w.after(to, func() { w.isolated = -1 })
	case logDown:
		w.after(from, func() { w.logDown = true })
		w.after(to, func() { w.logDown = false })
	default:
	}
	w.after(boot+w.length, w.stop)
}

// run steps the world until all jobs have ended.
func (w *world) run() {
	for w.now < boot+w.length+drain && (!w.stopped || w.record.open > 0) {
		w.advance(w.now + tick)
		for _, e := range w.engines {
			e.step(tick.Seconds(), w.emit, w.finish)
		}
		w.policy.step()
		w.record.step()
	}
}

// time returns the present instant.
func (w *world) time() time.Time { return start.Add(w.now) }

// emit counts service as it is delivered.
func (w *world) emit(r *run, units float64) {
	if r.job.first == 0 {
		r.job.first = w.now + w.back(r)
	}
	w.record.serve(r.job, units)
}

// back returns the latency from a run's engine to its caller.
func (w *world) back(r *run) time.Duration {
	if w.immune {
		return 0
	}
	return w.deployment.latency(r.engine.zone, w.deployment.zoneOf(r.router)) + w.deployment.Client
}

// call sends a job to its router, or to the next one that is alive.
func (w *world) call(j *job) {
	j.pending = false
	if w.stopped {
		w.refuse(j, "withdrawn")
		return
	}
	if !w.alive[j.router] && !w.immune {
		j.router = (j.router + 1) % len(w.alive)
		w.recall(j, failover)
		return
	}
	w.policy.submit(j)
}

// again makes the caller of a booking send it again, with the same key.
func (w *world) again(j *job, wait time.Duration, code string) {
	if j.retries++; j.retries > bookingRetries {
		w.refuse(j, code)
		return
	}
	w.record.retries++
	w.recall(j, max(wait, 10*time.Millisecond))
}

// recall makes the caller send a job again after some time.
func (w *world) recall(j *job, wait time.Duration) {
	j.pending = true
	w.after(wait, func() { w.call(j) })
}

// reaches reports whether a router and an availability zone can talk.
func (w *world) reaches(router, zone int) bool {
	return w.immune || w.connected(w.deployment.zoneOf(router), zone)
}

// connected reports whether two availability zones can talk.
func (w *world) connected(a, b int) bool { return a == b || a != w.isolated && b != w.isolated }

// send starts a job on an engine.
func (w *world) send(j *job, e *engine, grant uint64) {
	w.record.wait(j, false)
	r := &run{job: j, engine: e, router: j.router, life: w.lives[j.router], grant: grant}
	r.prefill = float64(j.prompt) / prefillRate
	j.run = r
	if w.immune {
		e.add(r)
		return
	}
	if !w.reaches(j.router, e.zone) {
		w.after(tick, func() {
			if w.known(r) {
				w.policy.failed(r)
			}
		})
		return
	}
	e.coming++
	w.after(w.deployment.latency(w.deployment.zoneOf(j.router), e.zone), func() {
		e.coming--
		e.add(r)
	})
}

// known reports whether the router that sent a run still runs.
func (w *world) known(r *run) bool {
	return w.immune || w.alive[r.router] && w.lives[r.router] == r.life
}

// finish notes at an engine that a run is whole.
func (w *world) finish(r *run) {
	r.job.executed++
	w.after(w.back(r)-w.clientPart(), func() {
		if r.broken || !w.reaches(r.router, r.engine.zone) {
			return
		}
		switch {
		case w.known(r):
			if w.policy.ended(r) {
				w.answer(r.job)
			}
		case !r.job.service:
			w.answer(r.job) // The caller has attached to the stream through another router.
		}
	})
}

// clientPart returns the latency between router and caller.
func (w *world) clientPart() time.Duration {
	if w.immune {
		return 0
	}
	return w.deployment.Client
}

// answer ends a job with its whole answer.
func (w *world) answer(j *job) { w.record.answer(j, w.now+w.clientPart()) }

// refuse ends a job without an answer.
func (w *world) refuse(j *job, code string) {
	w.record.wait(j, false)
	w.record.refuse(j, code)
}

// kill ends a router; callers of its waiting jobs and of its service calls turn to another one.
func (w *world) kill(router int) {
	if w.immune {
		return
	}
	w.alive[router] = false
	w.policy.kill(router)
	for _, j := range w.jobs {
		if j.router != router || j.ended || j.pending || j.arrival > w.now || j.run != nil && !j.service {
			continue
		}
		w.record.wait(j, false)
		j.run = nil
		w.recall(j, failover)
	}
	w.after(downTime, func() { w.boot(router) })
}

// cut cuts an availability zone off. Calls across the cut break off.
func (w *world) cut(zone int) {
	if w.immune {
		return
	}
	w.isolated = zone
	w.policy.cut()
	w.after(breakTime, func() {
		for _, j := range w.jobs {
			if r := j.run; r != nil && !j.ended && !w.reaches(r.router, r.engine.zone) {
				r.broken = true
				w.policy.broke(r)
				w.refuse(j, "target_failed")
			}
		}
	})
}

// stop ends the arrivals; callers of waiting jobs give up.
func (w *world) stop() {
	w.stopped = true
	for _, j := range w.jobs {
		if !j.ended && j.run == nil && w.policy.cancel(j) {
			w.refuse(j, "withdrawn")
		}
	}
}
