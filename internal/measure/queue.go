package measure

import (
	"cmp"
	"slices"
	"time"
)

// estimateKey identifies a moving average of output tokens.
type estimateKey struct {
	customer int
	class    string
}

// baselineQueue is the queue of one router in a baseline, with its own fairness counters. Arrays of two are indexed by
// kindIndex, and slices by customer or engine.
type baselineQueue struct {
	sim *simulation
	// knowsCosts is set if the actual cost of a job is known in advance.
	knowsCosts bool
	// jobs holds the waiting jobs of each customer in the order of their latest start.
	jobs          [2][][]*job
	waitingCounts [2]int
	// counters holds each customer's service in units divided by its weight, with expected costs for running jobs.
	counters [2][]float64
	// lastCustomer is the customer that selectRoundRobin selected last.
	lastCustomer int
	// ownRunning counts the attempts of this queue at each engine or on their way there.
	ownRunning []int
	// sentAt holds when jobs were sent to each engine, as far as its newest load report may not include them.
	sentAt [][]time.Duration
	// outputEstimates are moving averages of output tokens.
	outputEstimates map[estimateKey]float64
	// chargedCosts holds the expected costs of the running jobs in units.
	chargedCosts map[*job]float64
}

// newBaselineQueue returns an empty queue.
func newBaselineQueue(sim *simulation, knowsCosts bool) *baselineQueue {
	q := &baselineQueue{
		sim: sim, knowsCosts: knowsCosts, ownRunning: make([]int, len(sim.engines)),
		sentAt: make([][]time.Duration, len(sim.engines)), outputEstimates: make(map[estimateKey]float64),
		chargedCosts: make(map[*job]float64),
	}
	for kind := range q.jobs {
		q.jobs[kind] = make([][]*job, sim.deployment.Customers)
		q.counters[kind] = make([]float64, sim.deployment.Customers)
	}
	return q
}

// kindIndex returns 0 for model calls and 1 for service calls.
func kindIndex(isService bool) int {
	if isService {
		return 1
	}
	return 0
}

// waitingCount returns the number of waiting model calls or service calls.
func (q *baselineQueue) waitingCount(isService bool) int {
	return q.waitingCounts[kindIndex(isService)]
}

// latestStart returns the instant by which a job should start, by the patience of its class.
func latestStart(j *job) time.Duration { return j.arrival + j.class.patience }

// compareLatestStart orders the jobs of one customer by their latest start, then by their arrival.
func compareLatestStart(a, b *job) int {
	return cmp.Or(cmp.Compare(latestStart(a), latestStart(b)), cmp.Compare(a.id, b.id))
}

// add inserts a job. The counter of a customer without waiting jobs is first raised to the lowest counter of the
// customers that have some, so that being idle earns no credit.
func (q *baselineQueue) add(j *job) {
	k := kindIndex(j.isService)
	list := &q.jobs[k][j.customer]
	if len(*list) == 0 {
		lowest, found := 0.0, false
		for customer, waiting := range q.jobs[k] {
			if len(waiting) > 0 && (!found || q.counters[k][customer] < lowest) {
				lowest, found = q.counters[k][customer], true
			}
		}
		q.counters[k][j.customer] = max(q.counters[k][j.customer], lowest)
	}
	at, _ := slices.BinarySearchFunc(*list, j, compareLatestStart)
	*list = slices.Insert(*list, at, j)
	q.waitingCounts[k]++
}

// remove removes a waiting job and reports whether it was in the queue.
func (q *baselineQueue) remove(j *job) bool {
	k := kindIndex(j.isService)
	list := &q.jobs[k][j.customer]
	at, found := slices.BinarySearchFunc(*list, j, compareLatestStart)
	if found {
		*list = slices.Delete(*list, at, at+1)
		q.waitingCounts[k]--
	}
	return found
}

// expectedCost returns the cost of a job in units as far as the queue knows it. Without an estimate it assumes 256
// output tokens.
func (q *baselineQueue) expectedCost(j *job) float64 {
	if q.knowsCosts || j.isService {
		return j.costUnits()
	}
	expectedTokens, known := q.outputEstimates[estimateKey{j.customer, j.class.name}]
	if !known {
		expectedTokens = 256
	}
	if j.maxTokens > 0 {
		expectedTokens = min(expectedTokens, float64(j.maxTokens))
	}
	return expectedTokens + float64(j.promptTokens)/10
}

// charge adds the expected cost of a job to its customer's counter.
func (q *baselineQueue) charge(j *job) {
	q.chargedCosts[j] = q.expectedCost(j)
	q.counters[kindIndex(j.isService)][j.customer] += q.chargedCosts[j] / float64(q.sim.deployment.weight(j.customer))
}

// finishAttempt replaces the expected cost of an ended attempt by its actual one and updates the estimate of output
// tokens.
func (q *baselineQueue) finishAttempt(a *attempt) {
	j, weight := a.job, float64(q.sim.deployment.weight(a.job.customer))
	q.counters[kindIndex(j.isService)][j.customer] += (a.servedUnits() - q.chargedCosts[j]) / weight
	delete(q.chargedCosts, j)
	at := slices.Index(q.sim.engines, a.engine)
	q.ownRunning[at]--
	if !j.isService && a.isComplete() {
		key := estimateKey{j.customer, j.class.name}
		old, known := q.outputEstimates[key]
		if !known {
			old = float64(j.outputTokens)
		}
		q.outputEstimates[key] = old + (float64(j.outputTokens)-old)/8
	}
}

// sentSince returns how many jobs this queue sent to an engine after an instant. It forgets the earlier ones.
func (q *baselineQueue) sentSince(engine int, instant time.Duration) int {
	q.sentAt[engine] = slices.DeleteFunc(q.sentAt[engine], func(sent time.Duration) bool { return sent <= instant })
	return len(q.sentAt[engine])
}
