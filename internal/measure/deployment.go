package measure

import (
	"fmt"
	"time"
)

const (
	// zones is the number of regions; each has one availability zone.
	zones = 3
	// slots is the batch size of an engine.
	slots = 8
	// tokenRate is the number of tokens a second that one request gets while the batch is not overfull.
	tokenRate = 25
	// prefillRate is the number of prompt tokens that an engine reads in a second.
	prefillRate = 8000
	// serviceRate is the number of calls a second that one slot of a plain service ends.
	serviceRate = 25
)

// Deployment is the size of one fleet.
type Deployment struct {
	// Name is the kind of deployment.
	Name string
	// Routers is the number of routers in each availability zone.
	Routers int
	// Engines is the number of model replicas in each availability zone; each has one service replica as well.
	Engines int
	// Customers is the number of customers, of which the first Large ones are large.
	Customers, Large int
	// Near, Far and Client are one-way latencies inside a region, between regions, and between router and caller.
	Near, Far, Client time.Duration
}

// Deployments returns the two deployments of the design.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "printers", Routers: 3, Engines: 6, Customers: 16, Large: 4,
			Near: 500 * time.Microsecond, Far: 12 * time.Millisecond, Client: 3 * time.Millisecond,
		},
		{
			Name: "archive", Routers: 3, Engines: 3, Customers: 16, Large: 3,
			Near: 1500 * time.Microsecond, Far: 12 * time.Millisecond, Client: time.Millisecond,
		},
	}
}

// String returns the name.
func (d Deployment) String() string { return d.Name }

// weight returns the share of a customer.
func (d Deployment) weight(customer int) int {
	if customer < d.Large {
		return 2
	}
	return 1
}

// latency returns the one-way latency between two availability zones.
func (d Deployment) latency(a, b int) time.Duration {
	if a == b {
		return d.Near
	}
	return d.Far
}

// zoneOf returns the availability zone of a router.
func (d Deployment) zoneOf(router int) int { return router / d.Routers }

// capacity returns the service a second of all engines in units.
func (d Deployment) capacity() float64 { return float64(zones * d.Engines * slots * tokenRate) }

// zoneName returns the name of an availability zone, which is that of its region too.
func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// routerName returns the name of a router.
func routerName(router int) string { return fmt.Sprintf("router-%d", router) }
