package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

// outbox collects the messages of one tick and batches grants, ended runs and lent slots by receiver.
type outbox struct {
	// sessions holds the incarnation of each connected peer. It is owned by the Scheduler.
	sessions map[string]uint64
	grants   map[hostPool]*fleetpb.Grants
	finishes map[hostPool]*fleetpb.Finish
	lends    map[loanKey]*fleetpb.Lend
	// unbatched holds the messages that are sent as they are, after the others.
	unbatched []message.Envelope
}

// newOutbox returns an empty outbox.
func newOutbox(sessions map[string]uint64) *outbox {
	return &outbox{
		sessions: sessions,
		grants:   make(map[hostPool]*fleetpb.Grants),
		finishes: make(map[hostPool]*fleetpb.Finish),
		lends:    make(map[loanKey]*fleetpb.Lend),
	}
}

// addGrant adds a grant of a pool's scheduler to an entry router.
func (o *outbox) addGrant(entry, pool string, grant *fleetpb.Grant) {
	to := hostPool{host: entry, pool: pool}
	if o.grants[to] == nil {
		o.grants[to] = &fleetpb.Grants{Pool: pool}
	}
	o.grants[to].Grants = append(o.grants[to].Grants, grant)
}

// addEnded adds the return of an unused borrowed slot to the lending pool, which the given host schedules.
func (o *outbox) addEnded(host, lender string, ended *fleetpb.Ended) {
	to := hostPool{host: host, pool: lender}
	if o.finishes[to] == nil {
		o.finishes[to] = &fleetpb.Finish{Pool: lender}
	}
	o.finishes[to].Runs = append(o.finishes[to].Runs, ended)
}

// addLentSlot adds one slot to this tick's loan from the lender to another pool and returns the number of the loan. A new loan
// gets the next number after lastNumber.
func (o *outbox) addLentSlot(to *peerPool, lender, target string, deadline time.Time, lastNumber *uint64) uint64 {
	key := loanKey{borrower: hostPool{host: to.host, pool: to.pool}, lender: lender}
	loan := o.lends[key]
	if loan == nil {
		*lastNumber++
		loan = &fleetpb.Lend{Pool: to.pool, Lender: lender, Deadline: deadline.UnixMilli(), Number: *lastNumber}
		o.lends[key] = loan
	}
	countSlot(loan, target)
	return loan.GetNumber()
}

// addForwardedSlot adds one borrowed slot that is lent on to another pool. The loan keeps the lender's number and deadline.
func (o *outbox) addForwardedSlot(to *peerPool, borrowed *borrowedSlots) {
	key := loanKey{borrower: hostPool{host: to.host, pool: to.pool}, lender: borrowed.lender, number: borrowed.number}
	if o.lends[key] == nil {
		deadline := borrowed.deadline.UnixMilli()
		o.lends[key] = &fleetpb.Lend{Pool: to.pool, Lender: borrowed.lender, Deadline: deadline, Number: borrowed.number}
	}
	countSlot(o.lends[key], borrowed.target)
}

// countSlot adds one slot of a target to a Lend message.
func countSlot(loan *fleetpb.Lend, target string) {
	for _, slots := range loan.GetSlots() {
		if slots.GetTarget() == target {
			slots.Count++
			return
		}
	}
	loan.Slots = append(loan.Slots, &fleetpb.Slots{Target: target, Count: 1})
}

// addUnbatched adds a message that is sent as it is.
func (o *outbox) addUnbatched(to string, body *fleetpb.Body) {
	o.unbatched = append(o.unbatched, message.Envelope{To: to, Body: body})
}

// envelopes returns all messages in a deterministic order.
func (o *outbox) envelopes() []message.Envelope {
	out := make([]message.Envelope, 0, len(o.grants)+len(o.finishes)+len(o.lends)+len(o.unbatched))
	for _, to := range slices.SortedFunc(maps.Keys(o.grants), hostPool.compare) {
		out = append(out, message.Envelope{To: to.host, Body: &fleetpb.Body{Kind: &fleetpb.Body_Grants{Grants: o.grants[to]}}})
	}
	for _, to := range slices.SortedFunc(maps.Keys(o.finishes), hostPool.compare) {
		body := &fleetpb.Body{Kind: &fleetpb.Body_Finish{Finish: o.finishes[to]}}
		out = append(out, message.Envelope{To: to.host, Body: body})
	}
	for _, key := range slices.SortedFunc(maps.Keys(o.lends), loanKey.compare) {
		out = append(out, message.Envelope{To: key.borrower.host, Body: &fleetpb.Body{Kind: &fleetpb.Body_Lend{Lend: o.lends[key]}}})
	}
	return append(out, o.unbatched...)
}
