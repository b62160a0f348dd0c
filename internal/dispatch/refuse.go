package dispatch

import (
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/refusal"
)

const (
	// minQueueLimit is the number of requests that may wait even if the targets are very slow.
	minQueueLimit = 2
	// minRetryDelay and maxRetryDelay bound the time after which a refused request may be sent again. Within these bounds the
	// delay is random: at most retryDelayFraction of the time to the caller's deadline, and at least a quarter of that.
	minRetryDelay      = 300 * time.Millisecond
	maxRetryDelay      = 4 * time.Second
	retryDelayFraction = 0.33
	// noTargetRetryDelay is the time after which a request that was refused because its service has no target may be sent
	// again.
	noTargetRetryDelay = 500 * time.Millisecond
)

// shedExcess refuses the waiting requests beyond the queue limit, which could not be served in time. It takes the newest
// requests of the customer that ranks last, which is the one with the highest usage among those of the lowest priority. Those
// whose callers may already have a part of the answer stay.
func (d *Dispatcher) shedExcess(now time.Time, s *service) {
	for s.queue.length > s.queueLimit(now) {
		victim := d.requestToShed(now, s)
		if victim == nil {
			return
		}
		d.dequeue(s, victim)
		d.refuse(now, victim, d.overloadRefusal(now, &victim.request, "too many requests wait"))
	}
}

// requestToShed returns the waiting request to refuse first, or nil if the callers of all may have a part of their answers.
func (d *Dispatcher) requestToShed(now time.Time, s *service) *queuedRequest {
	for _, rank := range slices.Backward(d.customersByRank(now, s)) {
		if newest := s.queue.newestFor(rank.customer); newest != nil {
			return newest
		}
	}
	return nil
}

// overloadRefusal returns the refusal of a request for which there is no capacity in time. Retry times are spread over what
// the caller can wait: an overload lasts for seconds, and a request that is sent again during it is refused again.
func (d *Dispatcher) overloadRefusal(now time.Time, request *Request, reason string) *refusal.Error {
	delay := RetryDelay(request.Deadline.Sub(now), d.random.Float64())
	return refusal.New(refusal.Overloaded, reason).WithRetryAt(now.Add(delay))
}

// RetryDelay returns the time after which a request that was refused for lack of capacity may be sent again. It depends on the
// time to the caller's deadline and on a random number from 0 to 1.
func RetryDelay(remaining time.Duration, random float64) time.Duration {
	longest := min(time.Duration(float64(remaining)*retryDelayFraction), maxRetryDelay)
	return max(minRetryDelay, longest/4+time.Duration(random*float64(longest)*3/4))
}

// refuse records the decision that a request gets no target.
func (d *Dispatcher) refuse(now time.Time, qr *queuedRequest, refused *refusal.Error) {
	d.getOrCreateService(qr.request.Service).activityOf(qr.request.Customer).refusals++
	d.decisions = append(d.decisions, Decision{ID: qr.id, Refusal: refused, Waited: now.Sub(qr.queuedAt)})
}
