package measure

// selectFunc returns the next job of a queue that has at least one waiting.
type selectFunc func(q *baselineQueue, isService bool) *job

// forEachFirstWaiting calls visit with each customer that has a waiting job and its first job.
func (q *baselineQueue) forEachFirstWaiting(isService bool, visit func(customer int, first *job)) {
	for customer, waiting := range q.jobs[kindIndex(isService)] {
		if len(waiting) > 0 {
			visit(customer, waiting[0])
		}
	}
}

// selectFirstArrived returns the job that arrived first.
func selectFirstArrived(q *baselineQueue, isService bool) *job {
	var next *job
	for _, waiting := range q.jobs[kindIndex(isService)] {
		for _, j := range waiting {
			if next == nil || j.id < next.id {
				next = j
			}
		}
	}
	return next
}

// selectRoundRobin returns the first job of the next customer after lastCustomer that has one waiting.
func selectRoundRobin(q *baselineQueue, isService bool) *job {
	var next *job
	shortest := 0
	customers := q.sim.deployment.Customers
	q.forEachFirstWaiting(isService, func(customer int, first *job) {
		if distance := (customer - q.lastCustomer - 1 + customers) % customers; next == nil || distance < shortest {
			next, shortest = first, distance
		}
	})
	q.lastCustomer = next.customer
	return next
}

// selectLeastServed returns the first job of the customer with the least weighted service.
func selectLeastServed(q *baselineQueue, isService bool) *job {
	var next *job
	lowest := 0.0
	q.forEachFirstWaiting(isService, func(customer int, first *job) {
		if counter := q.counters[kindIndex(isService)][customer]; next == nil || counter < lowest {
			next, lowest = first, counter
		}
	})
	return next
}
