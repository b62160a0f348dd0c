package config

// epochSize is the number of versions in an epoch. It is so large that the first version of a new epoch is above every
// version of an older epoch, including those of stores that cannot be reached.
const epochSize = 1 << 32

// Snapshot is the serialized form of a whole state.
type Snapshot struct {
	// Version is the version of the state.
	Version uint64 `json:"version"`
	// Offset is the offset of the first log record that is not included in the state.
	Offset uint64 `json:"offset"`
	// Resumed marks a snapshot from a writer that had missed expired records which no store had read. Its version starts
	// a new epoch, and it replaces the state of every reader with a lower version.
	Resumed bool `json:"resumed,omitempty"`
	// LastCustomerNumber is the highest number that was ever assigned to a customer.
	LastCustomerNumber uint32 `json:"issued"`
	// Accepted are the latest accepted changes, oldest first, at most MaxAcceptedIDs.
	Accepted []AcceptedChange `json:"accepted,omitempty"`
	// Templates, Customers and Services are sorted by name.
	Templates []Template `json:"templates,omitempty"`
	Customers []Customer `json:"customers,omitempty"`
	Services  []Service  `json:"services,omitempty"`
}

// NewSnapshot returns a snapshot of a state; offset is that of the first log record that the state does not include.
func NewSnapshot(state State, offset uint64) Snapshot {
	return Snapshot{
		Version:            state.version,
		Offset:             offset,
		LastCustomerNumber: state.lastCustomerNumber,
		Accepted:           state.accepted,
		Templates:          state.Templates(),
		Customers:          state.Customers(),
		Services:           state.Services(),
	}
}

// newResumedSnapshot returns a resumed snapshot of a state, with the first version of the next epoch and the offset of
// the log's end.
func newResumedSnapshot(state State, logEnd uint64) Snapshot {
	snapshot := NewSnapshot(state, logEnd)
	snapshot.Version, snapshot.Resumed = (state.version/epochSize+1)*epochSize, true
	return snapshot
}

// State returns the state that the snapshot holds. The error is an *InvalidError if the content is invalid.
func (s Snapshot) State() (State, error) {
	change := Change{
		ID: "snapshot", PutTemplates: s.Templates, PutCustomers: s.Customers, PutServices: s.Services,
	}
	if err := (State{}).validate(change); err != nil {
		return State{}, err
	}
	state := State{}.apply(Change{PutTemplates: s.Templates, PutServices: s.Services})
	customers := cloneAll(s.Customers, Customer.clone)
	seenNumbers := make(map[uint32]bool, len(customers))
	var faults faultList
	for _, customer := range customers {
		if customer.Number == 0 || customer.Number > s.LastCustomerNumber || seenNumbers[customer.Number] {
			faults.add("customers."+customer.Name+".number", "is %d, not a number of its own", customer.Number)
		}
		seenNumbers[customer.Number] = true
	}
	state = state.replaceCustomers(customers, nil)
	state.version, state.lastCustomerNumber, state.accepted = s.Version, s.LastCustomerNumber, s.Accepted
	return state, faults.err()
}
