package measure

// fault is what goes wrong in a scenario.
type fault int

// Faults of scenarios.
const (
	noFault fault = iota
	killRouter
	cutRegion
	logDown
)

// Scenario is a load and a fault.
type Scenario struct {
	// Name identifies the scenario.
	Name string
	// Load is the demand as a part of the capacity.
	Load float64
	// Large is the part of the demand that comes from the large customers.
	Large float64
	// Pinned is set if each large customer calls one router only.
	Pinned bool
	// Flood is the demand of one small customer on top of that, as a part of the capacity.
	Flood float64
	// Bookings and Lookups are service calls a second.
	Bookings, Lookups float64

	fault fault
}

// String returns the name.
func (s Scenario) String() string { return s.Name }

// Scenarios returns all scenarios in the order of the table.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Load: 0.85, Large: 0.6, Bookings: 5, Lookups: 10},
		{Name: "skewed", Load: 1.3, Large: 0.77, Pinned: true, Bookings: 5, Lookups: 10},
		{Name: "flood", Load: 0.5, Large: 0.6, Flood: 3, Bookings: 5, Lookups: 10},
		{Name: "killed", Load: 1.3, Large: 0.77, Pinned: true, Bookings: 20, Lookups: 10, fault: killRouter},
		{Name: "cut", Load: 1.1, Large: 0.77, Bookings: 5, Lookups: 10, fault: cutRegion},
		{Name: "log-down", Load: 0.85, Large: 0.6, Bookings: 20, Lookups: 10, fault: logDown},
	}
}
