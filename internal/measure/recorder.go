package measure

import (
	"time"
)

// warmUpTime returns how long after the first arrival nothing is counted: a quarter of the load, in which the slots fill
// up although long answers take 16 s on average.
func (sim *simulation) warmUpTime() time.Duration { return sim.loadDuration / 4 }

// gapSamplePeriod is the time between two samples of the fairness gap.
const gapSamplePeriod = 100 * time.Millisecond

// recorder collects the figures of a simulation.
type recorder struct {
	sim *simulation
	gap *gapTracker
	// weightedService and waitingByCustomer cover model calls only. weightedService is in units divided by the
	// customer's weight.
	weightedService   []float64
	waitingByCustomer []int
	waitingTotal      int
	// maxWeightedCost holds the cost of each customer's largest model call in units, divided by the customer's weight.
	maxWeightedCost []float64
	// busySlotSteps, wastedSlotSteps and totalSlotSteps are sums over the steps in which a model call waits. Idle slots
	// are counted as wasted up to the number of waiting model calls.
	busySlotSteps, wastedSlotSteps, totalSlotSteps float64
	// openJobs counts the jobs that have arrived and not ended.
	openJobs       int
	bookingRetries int
	duplicateEnds  int
	// refusals counts the refused jobs by code.
	refusals map[string]int
	// firstTokenLatencies and totalLatencies are measured at the caller, by class; all service calls are one class.
	firstTokenLatencies, totalLatencies map[string][]time.Duration
	controlBytes, crossRegionBytes      int
	lastGapSample                       time.Duration
}

// newRecorder returns an empty recorder.
func newRecorder(sim *simulation) *recorder {
	customers := sim.deployment.Customers
	r := &recorder{
		sim: sim, gap: newGapTracker(customers), weightedService: make([]float64, customers),
		waitingByCustomer: make([]int, customers), maxWeightedCost: make([]float64, customers), refusals: make(map[string]int),
		firstTokenLatencies: make(map[string][]time.Duration), totalLatencies: make(map[string][]time.Duration),
	}
	for _, j := range sim.jobs {
		if !j.isService {
			r.maxWeightedCost[j.customer] = max(
				r.maxWeightedCost[j.customer], j.costUnits()/float64(sim.deployment.weight(j.customer)),
			)
		}
	}
	return r
}

// isMeasuring reports whether the current instant lies between the warm-up and the end of the arrivals.
func (r *recorder) isMeasuring() bool {
	return r.sim.now >= startupTime+r.sim.warmUpTime() && !r.sim.arrivalsStopped
}

// addService adds service units of a model call to its customer.
func (r *recorder) addService(j *job, units float64) {
	if !j.isService {
		r.weightedService[j.customer] += units / float64(r.sim.deployment.weight(j.customer))
	}
}

// setWaiting notes whether a job waits at a router.
func (r *recorder) setWaiting(j *job, waiting bool) {
	if j.isWaiting == waiting {
		return
	}
	j.isWaiting = waiting
	if j.isService {
		return
	}
	if waiting {
		r.waitingByCustomer[j.customer]++
		r.waitingTotal++
		return
	}
	r.waitingByCustomer[j.customer]--
	r.waitingTotal--
	if r.waitingByCustomer[j.customer] == 0 {
		r.gap.markIdle(j.customer)
	}
}

// step samples the gap and the use of the model engines' slots.
func (r *recorder) step() {
	if !r.isMeasuring() {
		return
	}
	if r.sim.now-r.lastGapSample >= gapSamplePeriod {
		r.lastGapSample = r.sim.now
		r.gap.sample(r.weightedService, func(customer int) bool { return r.waitingByCustomer[customer] > 0 })
	}
	if r.waitingTotal == 0 {
		return
	}
	busy, total := 0, 0
	for _, e := range r.sim.engines {
		if !e.isService {
			busy += min(slotsPerEngine, len(e.running))
			total += slotsPerEngine
		}
	}
	r.busySlotSteps += float64(busy)
	r.totalSlotSteps += float64(total)
	r.wastedSlotSteps += float64(min(total-busy, r.waitingTotal))
}

// recordAnswer ends a job with a complete answer and records its latencies, unless it arrived in the warm-up. A second
// end counts as duplicate.
func (r *recorder) recordAnswer(j *job, at time.Duration) {
	if !r.markEnded(j) || j.arrival < startupTime+r.sim.warmUpTime() || r.isFlooding(j) {
		return
	}
	sent := j.arrival - r.sim.callerLatency()
	if j.isService {
		r.totalLatencies["service"] = append(r.totalLatencies["service"], at-sent)
		return
	}
	r.firstTokenLatencies[j.class.name] = append(r.firstTokenLatencies[j.class.name], j.firstTokenAt-sent)
	r.totalLatencies[j.class.name] = append(r.totalLatencies[j.class.name], at-sent)
}

// isFlooding reports whether a job belongs to the customer that floods, whose latencies are not recorded.
func (r *recorder) isFlooding(j *job) bool {
	return r.sim.scenario.FloodLoad > 0 && j.customer == r.sim.deployment.Customers-1
}

// recordRefusal ends a job without an answer.
func (r *recorder) recordRefusal(j *job, code string) {
	if r.markEnded(j) {
		r.refusals[code]++
	}
}

// markEnded ends a job and reports whether it had not ended before.
func (r *recorder) markEnded(j *job) bool {
	if j.hasEnded {
		r.duplicateEnds++
		return false
	}
	j.hasEnded = true
	r.openJobs--
	return true
}

// addControlBytes counts control traffic between routers.
func (r *recorder) addControlBytes(size int, crossRegion bool) {
	if !r.isMeasuring() {
		return
	}
	r.controlBytes += size
	if crossRegion {
		r.crossRegionBytes += size
	}
}
