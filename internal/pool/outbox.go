package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

// outbox joins the messages of one tick.
type outbox struct {
	// sessions holds the incarnations of the connected peers.
	sessions map[string]uint64
	grants   map[address]*fleetpb.Grants
	finishes map[address]*fleetpb.Finish
	lends    map[lending]*fleetpb.Lend
	others   []message.Envelope
}

// newOutbox returns an empty outbox.
func newOutbox(sessions map[string]uint64) *outbox {
	return &outbox{
		sessions: sessions,
		grants:   make(map[address]*fleetpb.Grants),
		finishes: make(map[address]*fleetpb.Finish),
		lends:    make(map[lending]*fleetpb.Lend),
	}
}

// grant adds a grant for an entry router.
func (o *outbox) grant(entry, pool string, grant *fleetpb.Grant) {
	to := address{host: entry, pool: pool}
	if o.grants[to] == nil {
		o.grants[to] = &fleetpb.Grants{Pool: pool}
	}
	o.grants[to].Grants = append(o.grants[to].Grants, grant)
}

// finish adds a lent slot that is given back.
func (o *outbox) finish(host, lender string, ended *fleetpb.Ended) {
	to := address{host: host, pool: lender}
	if o.finishes[to] == nil {
		o.finishes[to] = &fleetpb.Finish{Pool: lender}
	}
	o.finishes[to].Runs = append(o.finishes[to].Runs, ended)
}

// lend adds one slot to this tick's loan between two pools and returns the loan's number.
func (o *outbox) lend(to *peer, lender, target string, deadline time.Time, number *uint64) uint64 {
	key := lending{to: address{host: to.host, pool: to.pool}, lender: lender}
	loan := o.lends[key]
	if loan == nil {
		*number++
		loan = &fleetpb.Lend{Pool: to.pool, Lender: lender, Deadline: deadline.UnixMilli(), Number: *number}
		o.lends[key] = loan
	}
	for _, slots := range loan.GetSlots() {
		if slots.GetTarget() == target {
			slots.Count++
			return loan.GetNumber()
		}
	}
	loan.Slots = append(loan.Slots, &fleetpb.Slots{Target: target, Count: 1})
	return loan.GetNumber()
}

// send adds a message that needs no joining.
func (o *outbox) send(to string, body *fleetpb.Body) {
	o.others = append(o.others, message.Envelope{To: to, Body: body})
}

// envelopes returns all messages in a fixed order.
func (o *outbox) envelopes() []message.Envelope {
	out := make([]message.Envelope, 0, len(o.grants)+len(o.finishes)+len(o.lends)+len(o.others))
	for _, to := range slices.SortedFunc(maps.Keys(o.grants), address.compare) {
		out = append(out, message.Envelope{To: to.host, Body: &fleetpb.Body{Kind: &fleetpb.Body_Grants{Grants: o.grants[to]}}})
	}
	for _, to := range slices.SortedFunc(maps.Keys(o.finishes), address.compare) {
		body := &fleetpb.Body{Kind: &fleetpb.Body_Finish{Finish: o.finishes[to]}}
		out = append(out, message.Envelope{To: to.host, Body: body})
	}
	for _, key := range slices.SortedFunc(maps.Keys(o.lends), lending.compare) {
		out = append(out, message.Envelope{To: key.to.host, Body: &fleetpb.Body{Kind: &fleetpb.Body_Lend{Lend: o.lends[key]}}})
	}
	return append(out, o.others...)
}
