package accounting

// account is the service of one customer as one ledger knows it.
type account struct {
	// served is the cumulative service charged in this ledger, as it is reported. It only grows.
	served uint64
	// credit is service that was charged by an estimate and refunded. Later charges use it up before served grows.
	credit uint64
	// base is the part of the fleet-wide total, as last known, that this ledger has not charged itself, raised to floors. It
	// only grows.
	base uint64
	// acknowledged is the highest value of served that an owner's answer included.
	acknowledged uint64
	// lowAnswers is the number of successive answers with a total below the one that this ledger knows.
	lowAnswers int
	// reportFloor is set if the next report must carry the total that this ledger knows as a floor.
	reportFloor bool
	// answered is set once an owner has answered.
	answered bool
}

// maxLowAnswers is the number of successive low answers after which the total that this ledger knows is reported as a floor. After
// one low answer, an owner that was unreachable may still be waiting for the reports of other schedulers. Their growth would be
// added to the floor and counted twice.
const maxLowAnswers = 2

// charge adds service, less what the credit covers.
func (a *account) charge(units uint64) {
	used := min(a.credit, units)
	a.credit -= used
	a.served += units - used
}

// refund adds service that was charged and not given to the credit.
func (a *account) refund(units uint64) { a.credit += units }

// counter returns the fleet-wide total as far as it is known, including this ledger's own service since the last answer.
func (a *account) counter() uint64 {
	total := a.base + a.served
	return total - min(total, a.credit)
}

// raise raises the counter to a floor and reports whether the counter was below the floor.
func (a *account) raise(floor uint64) bool {
	counter := a.counter()
	if counter >= floor {
		return false
	}
	a.base += floor - counter
	a.reportFloor = true
	return true
}

// applyAnswer updates the account from an owner's total, which includes the given cumulative service of this ledger. An answer
// that includes more than was served is ignored. A total below the one that this ledger knows is not applied; after maxLowAnswers
// of them in a row the known total is reported as a floor.
func (a *account) applyAnswer(total, included uint64) {
	if included > a.served {
		return
	}
	a.answered = true
	a.acknowledged = max(a.acknowledged, included)
	if total < a.base+included {
		a.lowAnswers++
		if a.lowAnswers >= maxLowAnswers {
			a.lowAnswers = 0
			a.reportFloor = true
		}
		return
	}
	a.lowAnswers = 0
	a.base = total - included
}

// needsReport reports whether the owner has not confirmed all of this account.
func (a *account) needsReport() bool {
	return !a.answered || a.reportFloor || a.acknowledged != a.served
}
