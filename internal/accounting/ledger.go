package accounting

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

// Ledger counts the service that one scheduler gave to the customers of one pool in its incarnation.
type Ledger struct {
	model string
	// source is the name of the pool.
	source      string
	incarnation uint64
	accounts    map[uint32]*account
	// toReport holds the customers that the next reports must carry.
	toReport map[uint32]struct{}
	// nextReportAt holds the time from which the next report for each shard may be sent.
	nextReportAt map[uint32]time.Time
}

// NewLedger returns an empty ledger for the pool named source. The incarnation is that of the router.
func NewLedger(model, source string, incarnation uint64) *Ledger {
	return &Ledger{
		model:        model,
		source:       source,
		incarnation:  incarnation,
		accounts:     make(map[uint32]*account),
		toReport:     make(map[uint32]struct{}),
		nextReportAt: make(map[uint32]time.Time),
	}
}

// Charge adds weighted milli-units to the service of a customer.
func (l *Ledger) Charge(customer uint32, units uint64) {
	l.account(customer).charge(units)
	l.addToNextReport(customer)
}

// Refund takes back weighted milli-units that were charged by an estimate and not served.
func (l *Ledger) Refund(customer uint32, units uint64) { l.account(customer).refund(units) }

// Counter returns the fleet-wide service of a customer as far as this ledger knows it, in weighted milli-units. It is zero for an
// unknown customer.
func (l *Ledger) Counter(customer uint32) uint64 {
	if acct, ok := l.accounts[customer]; ok {
		return acct.counter()
	}
	return 0
}

// RaiseToFloor raises a customer's counter to a floor. It is called for a customer that returns from idle, which would otherwise
// be served alone until its counter has caught up.
func (l *Ledger) RaiseToFloor(customer uint32, floor uint64) {
	if l.account(customer).raise(floor) {
		l.addToNextReport(customer)
	}
}

// Counters returns the counters of all customers that this ledger has an account for, in weighted milli-units.
func (l *Ledger) Counters() map[uint32]uint64 {
	counters := make(map[uint32]uint64, len(l.accounts))
	for customer, acct := range l.accounts {
		counters[customer] = acct.counter()
	}
	return counters
}

// RequestTotal adds a customer to the next report even if its service has not changed, so that the owner answers with its total.
func (l *Ledger) RequestTotal(customer uint32) {
	l.account(customer)
	l.addToNextReport(customer)
}

// DueReports returns the reports that are due, one for each shard with customers to report. A customer stays in the following
// reports until an owner has confirmed its service.
func (l *Ledger) DueReports(now time.Time, shardCount uint32, route RouteFunc) []message.Envelope {
	groups := make(map[uint32][]uint32)
	for _, customer := range slices.Sorted(maps.Keys(l.toReport)) {
		groups[customer%shardCount] = append(groups[customer%shardCount], customer)
	}
	envelopes := make([]message.Envelope, 0, len(groups))
	for _, shard := range slices.Sorted(maps.Keys(groups)) {
		owner, period := route(shard)
		if owner == "" || now.Before(l.nextReportAt[shard]) {
			continue
		}
		l.nextReportAt[shard] = now.Add(period)
		report := &fleetpb.Report{Model: l.model, Shard: shard, Source: l.source, Incarnation: l.incarnation}
		for _, customer := range groups[shard] {
			report.Accounts = append(report.Accounts, l.accountEntries(customer)...)
			if !l.accounts[customer].needsReport() {
				delete(l.toReport, customer)
			}
		}
		envelopes = append(envelopes, message.Envelope{To: owner, Body: &fleetpb.Body{Kind: &fleetpb.Body_Report{Report: report}}})
	}
	return envelopes
}

// accountEntries returns the entries of a report for one customer. Until an owner has answered, an entry with zero service comes
// first, because an owner counts only the growth since the first value that it sees from an incarnation. The floor is reported
// once.
func (l *Ledger) accountEntries(customer uint32) []*fleetpb.Account {
	acct := l.accounts[customer]
	entry := &fleetpb.Account{Customer: customer, Served: acct.served}
	if acct.reportFloor {
		entry.Floor = acct.base + acct.served
		acct.reportFloor = false
	}
	if acct.answered || acct.served == 0 {
		return []*fleetpb.Account{entry}
	}
	return []*fleetpb.Account{{Customer: customer}, entry}
}

// Receive applies an owner's answer. An answer to another model, pool or incarnation is ignored. It returns the customers that
// were answered for the first time and for which the owner knew no service but that of this ledger.
func (l *Ledger) Receive(totals *fleetpb.Totals) []uint32 {
	if totals.GetModel() != l.model || totals.GetSource() != l.source || totals.GetIncarnation() != l.incarnation {
		return nil
	}
	var withoutTotal []uint32
	for _, total := range totals.GetTotals() {
		acct, ok := l.accounts[total.GetCustomer()]
		if !ok {
			continue
		}
		first := !acct.answered
		acct.applyAnswer(total.GetTotal(), total.GetIncluded())
		if first && acct.base == 0 {
			withoutTotal = append(withoutTotal, total.GetCustomer())
		}
		if acct.needsReport() {
			l.addToNextReport(total.GetCustomer())
		}
	}
	return withoutTotal
}

// HasUnreported reports whether an owner has not confirmed all accounts of this ledger.
func (l *Ledger) HasUnreported() bool { return len(l.toReport) > 0 }

// HasRemoteService reports whether a customer's counter includes more than the service charged in this ledger: service at other
// schedulers, or a floor to which it was raised.
func (l *Ledger) HasRemoteService(customer uint32) bool {
	acct, ok := l.accounts[customer]
	return ok && acct.base > 0
}

// account returns the account of a customer and creates it if there is none.
func (l *Ledger) account(customer uint32) *account {
	acct, ok := l.accounts[customer]
	if !ok {
		acct = &account{}
		l.accounts[customer] = acct
	}
	return acct
}

// addToNextReport adds a customer to the next report of its shard.
func (l *Ledger) addToNextReport(customer uint32) { l.toReport[customer] = struct{}{} }
