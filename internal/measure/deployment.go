package measure

import (
	"fmt"
	"time"
)

const (
	// zoneCount is the number of regions; each has one availability zone.
	zoneCount = 3
	// slotsPerEngine is the batch size of an engine.
	slotsPerEngine = 8
	// tokensPerSecond is the number of output tokens per second and request while an engine runs no more requests than
	// it has slots.
	tokensPerSecond = 25
	// prefillTokensPerSecond is the number of prompt tokens per second that an engine reads for one request.
	prefillTokensPerSecond = 8000
	// serviceCallsPerSecond is the number of calls per second that one slot of a service completes.
	serviceCallsPerSecond = 25
)

// Deployment describes the size and the latencies of a fleet.
type Deployment struct {
	// Name identifies the deployment in the table and on the command line.
	Name string
	// RoutersPerZone is the number of routers in each availability zone.
	RoutersPerZone int
	// EnginesPerZone is the number of model replicas in each availability zone. Each zone has one service replica as
	// well.
	EnginesPerZone int
	// Customers is the number of customers. The first LargeCustomers of them have double weight.
	Customers, LargeCustomers int
	// IntraRegionLatency, InterRegionLatency and CallerLatency are one-way latencies: inside a region, between regions,
	// and between a router and a caller.
	IntraRegionLatency, InterRegionLatency, CallerLatency time.Duration
}

// Deployments returns the two reference deployments.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "printers", RoutersPerZone: 3, EnginesPerZone: 6, Customers: 16, LargeCustomers: 4,
			IntraRegionLatency: 500 * time.Microsecond, InterRegionLatency: 12 * time.Millisecond, CallerLatency: 3 * time.Millisecond,
		},
		{
			Name: "archive", RoutersPerZone: 3, EnginesPerZone: 3, Customers: 16, LargeCustomers: 3,
			IntraRegionLatency: 1500 * time.Microsecond, InterRegionLatency: 12 * time.Millisecond, CallerLatency: time.Millisecond,
		},
	}
}

// String returns the name.
func (d Deployment) String() string { return d.Name }

// weight returns the weight of a customer's share of the capacity.
func (d Deployment) weight(customer int) int {
	if customer < d.LargeCustomers {
		return 2
	}
	return 1
}

// latencyBetween returns the one-way latency between two availability zones.
func (d Deployment) latencyBetween(a, b int) time.Duration {
	if a == b {
		return d.IntraRegionLatency
	}
	return d.InterRegionLatency
}

// zoneOf returns the index of a router's availability zone.
func (d Deployment) zoneOf(router int) int { return router / d.RoutersPerZone }

// unitsPerSecond returns the service units per second that all model engines together deliver.
func (d Deployment) unitsPerSecond() float64 {
	return float64(zoneCount * d.EnginesPerZone * slotsPerEngine * tokensPerSecond)
}

// zoneName returns the name of an availability zone. Its region has the same name.
func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// routerName returns the name of a router.
func routerName(router int) string { return fmt.Sprintf("router-%d", router) }
