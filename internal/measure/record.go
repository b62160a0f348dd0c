package measure

import (
	"time"
)

// warmUp returns the time after the first arrival before which nothing is counted: a quarter of the load, in which the
// slots fill up even though long answers take 16 s on average.
func (w *world) warmUp() time.Duration { return w.length / 4 }

// samplePeriod is the time between two samples of the gap.
const samplePeriod = 100 * time.Millisecond

// record collects the figures of a run.
type record struct {
	world *world
	gap   *gap
	// served and waiting are by customer, for model calls only; served is weighted.
	served  []float64
	waiting []int
	total   int
	largest []float64
	// busy and slotTime are sums over the steps in which something waits; wasted counts idle slots as far as there is a
	// waiting request for each.
	busy, wasted, slotTime float64
	open                   int
	retries                int
	doubled                int
	refusals               map[string]int
	firsts, wholes         map[string][]time.Duration
	bytes, remote          int
	sampled                time.Duration
}

// newRecord returns an empty record.
func newRecord(w *world) *record {
	customers := w.deployment.Customers
	r := &record{
		world: w, gap: newGap(customers), served: make([]float64, customers), waiting: make([]int, customers),
		largest: make([]float64, customers), refusals: make(map[string]int),
		firsts: make(map[string][]time.Duration), wholes: make(map[string][]time.Duration),
	}
	for _, j := range w.jobs {
		if !j.service {
			r.largest[j.customer] = max(r.largest[j.customer], j.cost()/float64(w.deployment.weight(j.customer)))
		}
	}
	return r
}

// counts reports whether the present instant is measured.
func (r *record) counts() bool { return r.world.now >= boot+r.world.warmUp() && !r.world.stopped }

// serve counts service.
func (r *record) serve(j *job, units float64) {
	if !j.service {
		r.served[j.customer] += units / float64(r.world.deployment.weight(j.customer))
	}
}

// wait notes that a job waits at a router or no longer does.
func (r *record) wait(j *job, waiting bool) {
	if j.waiting == waiting {
		return
	}
	j.waiting = waiting
	if j.service {
		return
	}
	if waiting {
		r.waiting[j.customer]++
		r.total++
		return
	}
	r.waiting[j.customer]--
	r.total--
	if r.waiting[j.customer] == 0 {
		r.gap.clear(j.customer)
	}
}

// step samples the gap and the use of slots.
func (r *record) step() {
	if !r.counts() {
		return
	}
	if r.world.now-r.sampled >= samplePeriod {
		r.sampled = r.world.now
		r.gap.sample(r.served, func(customer int) bool { return r.waiting[customer] > 0 })
	}
	if r.total == 0 {
		return
	}
	busy, all := 0, 0
	for _, e := range r.world.engines {
		if !e.service {
			busy += min(slots, len(e.running))
			all += slots
		}
	}
	r.busy += float64(busy)
	r.slotTime += float64(all)
	r.wasted += float64(min(all-busy, r.total))
}

// answer ends a job with a whole answer; a second end is counted as doubled.
func (r *record) answer(j *job, at time.Duration) {
	if !r.end(j) || j.arrival < boot+r.world.warmUp() || r.flooder(j) {
		return
	}
	sent := j.arrival - r.world.clientPart()
	if j.service {
		r.wholes["service"] = append(r.wholes["service"], at-sent)
		return
	}
	r.firsts[j.class.name] = append(r.firsts[j.class.name], j.first-sent)
	r.wholes[j.class.name] = append(r.wholes[j.class.name], at-sent)
}

// flooder reports whether a job is of the customer that floods, whose latency is not counted.
func (r *record) flooder(j *job) bool {
	return r.world.scenario.Flood > 0 && j.customer == r.world.deployment.Customers-1
}

// refuse ends a job without an answer.
func (r *record) refuse(j *job, code string) {
	if r.end(j) {
		r.refusals[code]++
	}
}

// end ends a job once.
func (r *record) end(j *job) bool {
	if j.ended {
		r.doubled++
		return false
	}
	j.ended = true
	r.open--
	return true
}

// send counts control bytes.
func (r *record) send(size int, remote bool) {
	if !r.counts() {
		return
	}
	r.bytes += size
	if remote {
		r.remote += size
	}
}
