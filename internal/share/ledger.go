package share

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

// Ledger counts the service that one scheduler gave to the customers of one pool in its incarnation.
type Ledger struct {
	model       string
	source      string
	incarnation uint64
	accounts    map[uint32]*account
	// changed holds the customers of the next reports.
	changed map[uint32]struct{}
	// next holds the instant from which each shard may be reported again.
	next map[uint32]time.Time
}

// NewLedger returns an empty ledger; source is the name of the pool.
func NewLedger(model, source string, incarnation uint64) *Ledger {
	return &Ledger{
		model:       model,
		source:      source,
		incarnation: incarnation,
		accounts:    make(map[uint32]*account),
		changed:     make(map[uint32]struct{}),
		next:        make(map[uint32]time.Time),
	}
}

// Charge adds weighted milli-units to a customer.
func (l *Ledger) Charge(customer uint32, units uint64) {
	l.account(customer).charge(units)
	l.mark(customer)
}

// Refund takes back weighted milli-units that were charged by an estimate.
func (l *Ledger) Refund(customer uint32, units uint64) { l.account(customer).refund(units) }

// Counter returns the fleet-wide total of a customer as far as this ledger knows, in weighted milli-units.
func (l *Ledger) Counter(customer uint32) uint64 {
	if found, ok := l.accounts[customer]; ok {
		return found.view()
	}
	return 0
}

// Raise lifts a customer's counter to a floor, for a customer that returns from idle.
func (l *Ledger) Raise(customer uint32, floor uint64) {
	if l.account(customer).raise(floor) {
		l.mark(customer)
	}
}

// Counters returns the counters of all customers that this ledger has an account for.
func (l *Ledger) Counters() map[uint32]uint64 {
	all := make(map[uint32]uint64, len(l.accounts))
	for customer, found := range l.accounts {
		all[customer] = found.view()
	}
	return all
}

// Mark makes the next report carry a customer that is backlogged, so that the owner answers with its total.
func (l *Ledger) Mark(customer uint32) {
	l.account(customer)
	l.mark(customer)
}

// Report returns the reports that are due, one for each shard with changed or marked customers.
func (l *Ledger) Report(now time.Time, shards uint32, route Route) []message.Envelope {
	groups := make(map[uint32][]uint32)
	for _, customer := range slices.Sorted(maps.Keys(l.changed)) {
		groups[customer%shards] = append(groups[customer%shards], customer)
	}
	out := make([]message.Envelope, 0, len(groups))
	for _, shard := range slices.Sorted(maps.Keys(groups)) {
		owner, period := route(shard)
		if owner == "" || now.Before(l.next[shard]) {
			continue
		}
		l.next[shard] = now.Add(period)
		report := &fleetpb.Report{Model: l.model, Shard: shard, Source: l.source, Incarnation: l.incarnation}
		for _, customer := range groups[shard] {
			report.Accounts = append(report.Accounts, l.entries(customer)...)
			if !l.accounts[customer].pending() {
				delete(l.changed, customer)
			}
		}
		out = append(out, message.Envelope{To: owner, Body: &fleetpb.Body{Kind: &fleetpb.Body_Report{Report: report}}})
	}
	return out
}

// entries returns the message form of an account. Until an owner has answered, it begins with the zero from which this
// incarnation started, since an owner counts growth only from the first value that it sees.
func (l *Ledger) entries(customer uint32) []*fleetpb.Account {
	found := l.accounts[customer]
	entry := &fleetpb.Account{Customer: customer, Served: found.served}
	if found.lift {
		entry.Floor = found.base + found.served
		found.lift = false
	}
	if found.known || found.served == 0 {
		return []*fleetpb.Account{entry}
	}
	return []*fleetpb.Account{{Customer: customer}, entry}
}

// Receive takes over an owner's answer. An answer to another source or incarnation changes nothing. It returns the
// customers that were answered for the first time and of whom the owner knew nothing but this ledger's own service.
func (l *Ledger) Receive(totals *fleetpb.Totals) []uint32 {
	if totals.GetModel() != l.model || totals.GetSource() != l.source || totals.GetIncarnation() != l.incarnation {
		return nil
	}
	var fresh []uint32
	for _, total := range totals.GetTotals() {
		found, ok := l.accounts[total.GetCustomer()]
		if !ok {
			continue
		}
		first := !found.known
		found.settle(total.GetTotal(), total.GetIncluded())
		if first && found.base == 0 {
			fresh = append(fresh, total.GetCustomer())
		}
		if found.pending() {
			l.mark(total.GetCustomer())
		}
	}
	return fresh
}

// Pending reports whether an owner lacks something of this ledger.
func (l *Ledger) Pending() bool { return len(l.changed) > 0 }

// Placed reports whether more than this ledger's own service is known of a customer.
func (l *Ledger) Placed(customer uint32) bool {
	found, ok := l.accounts[customer]
	return ok && found.base > 0
}

// account returns the account of a customer and creates it if there is none.
func (l *Ledger) account(customer uint32) *account {
	found, ok := l.accounts[customer]
	if !ok {
		found = &account{}
		l.accounts[customer] = found
	}
	return found
}

// mark adds a customer to the next report of its shard.
func (l *Ledger) mark(customer uint32) { l.changed[customer] = struct{}{} }
