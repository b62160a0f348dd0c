package share

// account is the service of one customer as one ledger sees it.
type account struct {
	// served is the reported cumulative service; it only grows.
	served uint64
	// credit is service that was charged by an estimate and given back; later charges use it up before served grows.
	credit uint64
	// base is the fleet-wide total less served, as last known; it only grows.
	base uint64
	// settled is the served value that the owner has answered.
	settled uint64
	// behind counts successive answers of an owner that were below this ledger's view.
	behind int
	// lift is set if the next report must carry this ledger's view as a floor.
	lift bool
	// known is set once an owner has answered.
	known bool
}

// behindLimit is the number of successive low answers after which the owner is told the total that this ledger has
// seen. One low answer can precede the reports of other schedulers to an owner that was out of reach; a floor sent then
// would count their growth twice.
const behindLimit = 2

// charge adds service.
func (a *account) charge(units uint64) {
	used := min(a.credit, units)
	a.credit -= used
	a.served += units - used
}

// refund takes back service that was charged and not given.
func (a *account) refund(units uint64) { a.credit += units }

// view returns the fleet-wide total with this ledger's own service since the last answer.
func (a *account) view() uint64 {
	total := a.base + a.served
	return total - min(total, a.credit)
}

// raise lifts the view to a floor.
func (a *account) raise(floor uint64) bool {
	view := a.view()
	if view >= floor {
		return false
	}
	a.base += floor - view
	a.lift = true
	return true
}

// settle takes over the answer of an owner.
func (a *account) settle(total, included uint64) {
	if included > a.served {
		return
	}
	a.known = true
	a.settled = max(a.settled, included)
	if total < a.base+included {
		a.behind++
		if a.behind >= behindLimit {
			a.behind = 0
			a.lift = true
		}
		return
	}
	a.behind = 0
	a.base = total - included
}

// pending reports whether the owner lacks something of this account.
func (a *account) pending() bool { return !a.known || a.lift || a.settled != a.served }
