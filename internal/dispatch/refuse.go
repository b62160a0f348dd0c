package dispatch

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/refusal"
)

const (
	// shortestLine is the number of requests that may wait however slow the targets are.
	shortestLine = 2
	// soonest and latest bound the time after which a refused request may come back. Within them it is up to patientPart
	// of the time that the caller has left, and at least a quarter of that.
	soonest     = 300 * time.Millisecond
	latest      = 4 * time.Second
	patientPart = 0.33
	// absentPause is the time after which a request whose service has no target may come back.
	absentPause = 500 * time.Millisecond
)

// shorten refuses requests that would wait in vain: those of the customers that got most.
func (d *Dispatcher) shorten(now time.Time, s *service) {
	for s.line.length > s.capacity(now) {
		order := d.order(now, s)
		victim := s.line.last(order[len(order)-1].customer)
		d.drop(s, victim)
		d.refuse(now, victim, d.overloaded(now, &victim.request, "too many requests wait"))
	}
}

// overloaded returns the refusal of a request for which there is no capacity in time. The times to come back are spread
// over what the caller can wait: an overload lasts for seconds, and a request that comes back into it is refused again.
func (d *Dispatcher) overloaded(now time.Time, request *Request, reason string) *refusal.Error {
	pause := RetryDelay(request.Deadline.Sub(now), d.random.Float64())
	return refusal.New(refusal.Overloaded, reason).WithRetry(now.Add(pause))
}

// RetryDelay returns the time after which a request may come back that was refused for lack of capacity, from the time that its
// caller has left and a random number from 0 to 1.
func RetryDelay(left time.Duration, draw float64) time.Duration {
	longest := min(time.Duration(float64(left)*patientPart), latest)
	return max(soonest, longest/4+time.Duration(draw*float64(longest)*3/4))
}

// refuse decides that a request gets no target.
func (d *Dispatcher) refuse(now time.Time, w *waiting, refused *refusal.Error) {
	d.decisions = append(d.decisions, Decision{ID: w.id, Refusal: refused, Waited: now.Sub(w.since)})
}
