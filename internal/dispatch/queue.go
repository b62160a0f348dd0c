package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// queuedRequest is a request that does not have a target yet.
type queuedRequest struct {
	id       uint64
	request  Request
	queuedAt time.Time
	// waitDeadline is the time until which the request may wait. See service.waitDeadline.
	waitDeadline time.Time
	// isRetry is set if the request has been at a target before.
	isRetry bool
}

// mayHavePart reports whether the caller may already have a part of the answer.
func (qr *queuedRequest) mayHavePart() bool { return qr.isRetry || qr.request.Resumed }

// requestQueue holds the waiting requests of a service by customer.
type requestQueue struct {
	byCustomer map[string][]*queuedRequest
	length     int
}

// newRequestQueue returns an empty queue.
func newRequestQueue() *requestQueue {
	return &requestQueue{byCustomer: make(map[string][]*queuedRequest)}
}

// add appends a request to its customer's requests. One whose caller may have a part of the answer is put first.
func (q *requestQueue) add(qr *queuedRequest) {
	customer := qr.request.Customer
	if qr.mayHavePart() {
		q.byCustomer[customer] = slices.Insert(q.byCustomer[customer], 0, qr)
	} else {
		q.byCustomer[customer] = append(q.byCustomer[customer], qr)
	}
	q.length++
}

// remove removes a request from the queue.
func (q *requestQueue) remove(qr *queuedRequest) {
	customer := qr.request.Customer
	previous := len(q.byCustomer[customer])
	q.byCustomer[customer] = slices.DeleteFunc(q.byCustomer[customer], func(other *queuedRequest) bool { return other == qr })
	q.length -= previous - len(q.byCustomer[customer])
	if len(q.byCustomer[customer]) == 0 {
		delete(q.byCustomer, customer)
	}
}

// customerRank is what determines the order in which customers are served: the priority of the customer's first request and
// its recent usage.
type customerRank struct {
	customer string
	priority int
	usage    float64
}

// compare orders by priority, then by usage, lowest first. The name makes the order deterministic.
func (r customerRank) compare(other customerRank) int {
	return cmp.Or(cmp.Compare(r.priority, other.priority), cmp.Compare(r.usage, other.usage),
		cmp.Compare(r.customer, other.customer))
}

// customersByRank returns the customers with waiting requests in the order in which they are to be served.
func (q *requestQueue) customersByRank(usage func(customer string) float64) []customerRank {
	ranks := make([]customerRank, 0, len(q.byCustomer))
	for customer, requests := range q.byCustomer {
		ranks = append(ranks, customerRank{customer, requests[0].request.Priority, usage(customer)})
	}
	slices.SortFunc(ranks, customerRank.compare)
	return ranks
}

// nextFor returns the customer's request to serve next: the one with the earliest wait deadline that has not passed, or the
// first in the queue if all have passed. The customer must have a waiting request.
func (q *requestQueue) nextFor(now time.Time, customer string) *queuedRequest {
	return mostUrgent(now, q.byCustomer[customer])
}

// nextForAnyBuild is like nextFor for the requests that may go to targets of any build. It returns nil if there are none.
func (q *requestQueue) nextForAnyBuild(now time.Time, customer string) *queuedRequest {
	var unbound []*queuedRequest
	for _, qr := range q.byCustomer[customer] {
		if qr.request.Build == "" {
			unbound = append(unbound, qr)
		}
	}
	return mostUrgent(now, unbound)
}

// mostUrgent returns the request with the earliest wait deadline that has not passed, the first one if all have passed, and nil if there
// is none.
func mostUrgent(now time.Time, requests []*queuedRequest) *queuedRequest {
	var urgent *queuedRequest
	for _, qr := range requests {
		if now.Before(qr.waitDeadline) && (urgent == nil || qr.waitDeadline.Before(urgent.waitDeadline)) {
			urgent = qr
		}
	}
	if urgent == nil && len(requests) > 0 {
		return requests[0]
	}
	return urgent
}

// all returns the waiting requests, in no particular order.
func (q *requestQueue) all() []*queuedRequest {
	waiting := make([]*queuedRequest, 0, q.length)
	for _, requests := range q.byCustomer {
		waiting = append(waiting, requests...)
	}
	return waiting
}

// newestFor returns the newest request of a customer whose caller has no part of the answer, or nil if it has none.
func (q *requestQueue) newestFor(customer string) *queuedRequest {
	for _, qr := range slices.Backward(q.byCustomer[customer]) {
		if !qr.mayHavePart() {
			return qr
		}
	}
	return nil
}
