package measure

// order returns the next job of a queue in which at least one waits.
type order func(s *shelf, service bool) *job

// heads calls visit with the first waiting job of each customer.
func (s *shelf) heads(service bool, visit func(customer int, first *job)) {
	for customer, waiting := range s.jobs[kind(service)] {
		if len(waiting) > 0 {
			visit(customer, waiting[0])
		}
	}
}

// arrivalOrder takes the job that came first.
func arrivalOrder(s *shelf, service bool) *job {
	var next *job
	for _, waiting := range s.jobs[kind(service)] {
		for _, j := range waiting {
			if next == nil || j.id < next.id {
				next = j
			}
		}
	}
	return next
}

// turnOrder takes the customers in turn.
func turnOrder(s *shelf, service bool) *job {
	var next *job
	best := 0
	customers := s.world.deployment.Customers
	s.heads(service, func(customer int, first *job) {
		if distance := (customer - s.turn - 1 + customers) % customers; next == nil || distance < best {
			next, best = first, distance
		}
	})
	s.turn = next.customer
	return next
}

// fairOrder takes the customer with the least weighted service.
func fairOrder(s *shelf, service bool) *job {
	var next *job
	lowest := 0.0
	s.heads(service, func(customer int, first *job) {
		if counter := s.counters[kind(service)][customer]; next == nil || counter < lowest {
			next, lowest = first, counter
		}
	})
	return next
}
