package measure

// faultKind is the fault that is injected in a scenario.
type faultKind int

// Kinds of faults.
const (
	noFault faultKind = iota
	faultKillRouter
	faultIsolateRegion
	faultLogDown
)

// Scenario describes the load and the fault of a simulation.
type Scenario struct {
	// Name identifies the scenario.
	Name string
	// Load is the demand of model calls as a fraction of the capacity.
	Load float64
	// LargeShare is the fraction of Load that comes from the large customers.
	LargeShare float64
	// PinLargeCustomers makes each large customer call a router of its own only.
	PinLargeCustomers bool
	// FloodLoad is the additional demand of one small customer as a fraction of the capacity.
	FloodLoad float64
	// BookingsPerSecond and LookupsPerSecond are the rates of service calls over the whole fleet.
	BookingsPerSecond, LookupsPerSecond float64

	fault faultKind
}

// String returns the name.
func (s Scenario) String() string { return s.Name }

// Scenarios returns all scenarios in the order of the table.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Load: 0.85, LargeShare: 0.6, BookingsPerSecond: 5, LookupsPerSecond: 10},
		{Name: "skewed", Load: 1.3, LargeShare: 0.77, PinLargeCustomers: true, BookingsPerSecond: 5, LookupsPerSecond: 10},
		{Name: "flood", Load: 0.5, LargeShare: 0.6, FloodLoad: 3, BookingsPerSecond: 5, LookupsPerSecond: 10},
		{
			Name: "killed", Load: 1.3, LargeShare: 0.77, PinLargeCustomers: true, BookingsPerSecond: 20, LookupsPerSecond: 10,
			fault: faultKillRouter,
		},
		{Name: "cut", Load: 1.1, LargeShare: 0.77, BookingsPerSecond: 5, LookupsPerSecond: 10, fault: faultIsolateRegion},
		{Name: "log-down", Load: 0.85, LargeShare: 0.6, BookingsPerSecond: 20, LookupsPerSecond: 10, fault: faultLogDown},
	}
}
