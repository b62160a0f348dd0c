package config

// epoch is the distance between the versions of two epochs. A version of a new epoch is above all versions that any
// store, also one that is not reached, has of an older one.
const epoch = 1 << 32

// Snapshot is a whole state as a record.
type Snapshot struct {
	// Version is the state's version.
	Version uint64 `json:"version"`
	// Offset is the log offset up to which the state is folded.
	Offset uint64 `json:"offset"`
	// Resumed is set if the writer had missed expired records and no store had them; the version then begins a new
	// epoch, and the snapshot replaces the state of every reader with a lower version.
	Resumed bool `json:"resumed,omitempty"`
	// LastCustomerNumber is the highest number that was issued to a customer.
	LastCustomerNumber uint32 `json:"issued"`
	// Accepted are the last accepted changes, oldest first.
	Accepted []AcceptedChange `json:"accepted,omitempty"`
	// Templates, Customers and Services are sorted by name.
	Templates []Template `json:"templates,omitempty"`
	Customers []Customer `json:"customers,omitempty"`
	Services  []Service  `json:"services,omitempty"`
}

// NewSnapshot returns a state as it is at a log offset.
func NewSnapshot(state State, offset uint64) Snapshot {
	return Snapshot{
		Version:            state.version,
		Offset:             offset,
		LastCustomerNumber: state.issued,
		Accepted:           state.accepted,
		Templates:          state.Templates(),
		Customers:          state.Customers(),
		Services:           state.Services(),
	}
}

// newSnapshotResumed returns a state as the begin of the next epoch, taken where the log ends.
func newSnapshotResumed(state State, end uint64) Snapshot {
	snapshot := NewSnapshot(state, end)
	snapshot.Version, snapshot.Resumed = (state.version/epoch+1)*epoch, true
	return snapshot
}

// State returns the state of the snapshot, or an *InvalidError.
func (s Snapshot) State() (State, error) {
	content := Change{
		ID: "snapshot", PutTemplates: s.Templates, PutCustomers: s.Customers, PutServices: s.Services,
	}
	if err := (State{}).check(content); err != nil {
		return State{}, err
	}
	state := State{}.with(Change{PutTemplates: s.Templates, PutServices: s.Services})
	customers := clones(s.Customers, Customer.clone)
	numbers := make(map[uint32]bool, len(customers))
	var found faults
	for _, customer := range customers {
		if customer.Number == 0 || customer.Number > s.LastCustomerNumber || numbers[customer.Number] {
			found.add("customers."+customer.Name+".number", "is %d, not a number of its own", customer.Number)
		}
		numbers[customer.Number] = true
	}
	state = state.withCustomers(customers, nil)
	state.version, state.issued, state.accepted = s.Version, s.LastCustomerNumber, s.Accepted
	return state, found.err()
}
