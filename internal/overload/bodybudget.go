package overload

import (
	"context"
	"slices"
	"sync"
)

const (
	// SmallBodyBytes is the size up to which a body may use all of the budget. Larger ones leave room for smaller ones.
	SmallBodyBytes = 64 << 10
	// largeFraction is the part of the budget that large bodies may use, customerFraction the part of that which those of one customer may
	// use.
	largeFraction    = 0.75
	customerFraction = 0.75
	// answerFraction is the part of the budget that answers may use. The rest of it remains for small bodies.
	answerFraction = 0.125
)

// BodyBudget bounds the memory that the bodies of requests and the answers to them hold together. Small bodies get memory at once or not at
// all; large ones wait for it, those of the customer that holds least first. It is safe for concurrent use.
type BodyBudget struct {
	limit, largeLimit, customerLimit, answerLimit int64

	mu sync.Mutex
	// held is what all bodies and answers hold, heldLarge what large bodies do, heldAnswers what answers do, and heldBy what the large bodies
	// of each customer do.
	held, heldLarge, heldAnswers int64
	heldBy                       map[string]int64
	waiting                      []*bodyWaiter
	refused                      int64
}

// bodyWaiter is a large body that waits for memory.
type bodyWaiter struct {
	customer string
	bytes    int64
	granted  chan struct{}
}

// NewBodyBudget returns a budget of a number of bytes. Zero means no limit.
func NewBodyBudget(bytes int64) *BodyBudget {
	large := int64(float64(bytes) * largeFraction)
	return &BodyBudget{
		limit: bytes, largeLimit: large, customerLimit: int64(float64(large) * customerFraction),
		answerLimit: int64(float64(bytes) * answerFraction), heldBy: make(map[string]int64),
	}
}

// Limit returns the size of the budget in bytes, zero if there is no limit.
func (b *BodyBudget) Limit() int64 { return b.limit }

// Held returns the number of bytes that bodies and answers hold.
func (b *BodyBudget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Refused returns how often a body got no memory.
func (b *BodyBudget) Refused() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

// Open returns a reservation of a customer's request, which holds nothing yet.
func (b *BodyBudget) Open(customer string) *BodyReservation {
	return &BodyReservation{budget: b, customer: customer}
}

// fitsLarge reports whether a large body can be held now. The caller must hold b.mu.
func (b *BodyBudget) fitsLarge(customer string, bytes int64) bool {
	return b.held+bytes <= b.limit && b.heldLarge+bytes <= b.largeLimit && b.heldBy[customer]+bytes <= b.customerLimit
}

// holdLarge adds a large body. The caller must hold b.mu.
func (b *BodyBudget) holdLarge(customer string, bytes int64) {
	b.held += bytes
	b.heldLarge += bytes
	b.heldBy[customer] += bytes
	if b.heldBy[customer] == 0 {
		delete(b.heldBy, customer)
	}
}

// grantWaiting gives memory to waiting bodies as long as there is some. The caller must hold b.mu.
func (b *BodyBudget) grantWaiting() {
	for {
		next := b.nextWaiter()
		if next < 0 {
			return
		}
		waiter := b.waiting[next]
		b.waiting = slices.Delete(b.waiting, next, next+1)
		b.holdLarge(waiter.customer, waiter.bytes)
		close(waiter.granted)
	}
}

// nextWaiter returns the index of the body to be given memory next, the first one of the customer that holds least, and -1 if there is not
// enough for any. The caller must hold b.mu.
func (b *BodyBudget) nextWaiter() int {
	next := -1
	for i, waiter := range b.waiting {
		if b.fitsLarge(waiter.customer, waiter.bytes) && (next < 0 || b.heldBy[waiter.customer] < b.heldBy[b.waiting[next].customer]) {
			next = i
		}
	}
	return next
}

// BodyReservation is the memory that the body of one request and the answers to it hold. It belongs to the goroutine of the request.
type BodyReservation struct {
	budget                *BodyBudget
	customer              string
	small, large, answers int64
}

// GrowSmall holds more bytes for a small body. It reports false if there is no memory.
func (r *BodyReservation) GrowSmall(bytes int64) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && b.held+bytes > b.limit {
		b.refused++
		return false
	}
	b.held += bytes
	r.small += bytes
	return true
}

// GrowAnswer holds more bytes for an answer. It reports false if there is no memory: the answer is then relayed as it arrives, so it need not
// wait.
func (r *BodyReservation) GrowAnswer(bytes int64) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && (b.held+bytes > b.limit || b.heldAnswers+bytes > b.answerLimit) {
		return false
	}
	b.held += bytes
	b.heldAnswers += bytes
	r.answers += bytes
	return true
}

// GrowLarge holds more bytes for a large body, and waits for them until ctx ends. It reports false if there is no memory until then, or if
// there can never be enough.
func (r *BodyReservation) GrowLarge(ctx context.Context, bytes int64) bool {
	waiter, held := r.requestLarge(bytes)
	if waiter == nil {
		return held
	}
	select {
	case <-waiter.granted:
	case <-ctx.Done():
		if !r.budget.withdraw(waiter) {
			return false
		}
	}
	r.large += bytes
	return true
}

// requestLarge holds more bytes at once if there are enough and nobody waits, and reports true then. Otherwise it returns a waiter for them,
// or none if there can never be enough.
func (r *BodyReservation) requestLarge(bytes int64) (waiter *bodyWaiter, held bool) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && bytes > b.customerLimit {
		b.refused++
		return nil, false
	}
	if b.limit == 0 || len(b.waiting) == 0 && b.fitsLarge(r.customer, bytes) {
		b.holdLarge(r.customer, bytes)
		r.large += bytes
		return nil, true
	}
	waiter = &bodyWaiter{customer: r.customer, bytes: bytes, granted: make(chan struct{})}
	b.waiting = append(b.waiting, waiter)
	b.grantWaiting() // Those that wait before may be held up by the limit of their customer.
	return waiter, false
}

// withdraw removes a waiter. It reports true if the waiter was given memory meanwhile.
func (b *BodyBudget) withdraw(waiter *bodyWaiter) (granted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	index := slices.Index(b.waiting, waiter)
	if index < 0 {
		return true
	}
	b.waiting = slices.Delete(b.waiting, index, index+1)
	b.refused++
	return false
}

// ReleaseSmall gives back what GrowSmall has held.
func (r *BodyReservation) ReleaseSmall() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= r.small
	r.small = 0
	b.grantWaiting()
}

// Release gives everything back. Further calls do nothing.
func (r *BodyReservation) Release() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= r.small + r.answers
	b.heldAnswers -= r.answers
	b.holdLarge(r.customer, -r.large)
	r.small, r.large, r.answers = 0, 0, 0
	b.grantWaiting()
}
