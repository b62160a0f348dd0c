package node

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/requestqueue"
)

// resolveCustomers returns the limits and classes of all customers for the entry queue, and their weights for the scheduler.
// Both maps are keyed by the customer's number.
func resolveCustomers(state config.State) (map[uint32]requestqueue.Customer, map[uint32]uint32) {
	customers := make(map[uint32]requestqueue.Customer)
	weights := make(map[uint32]uint32)
	for _, customer := range state.Customers() {
		resolved, found := state.Customer(customer.Name)
		if !found {
			continue
		}
		weights[resolved.Number] = uint32(resolved.Weight)
		customers[resolved.Number] = requestqueue.Customer{
			Limits: requestqueue.Limits{
				MaxWaiting:      resolved.Limits.Waiting,
				MaxWaitingBytes: int(resolved.Limits.WaitingBytes),
				MaxOpenRequests: resolved.Limits.Connections,
			},
			Classes: resolveClasses(resolved),
		}
	}
	return customers, weights
}

// resolveClasses returns the classes of a customer for the entry queue.
func resolveClasses(customer config.ResolvedCustomer) map[string]requestqueue.Class {
	classes := make(map[string]requestqueue.Class)
	for _, name := range customer.Classes() {
		class, _ := customer.Class(name)
		classes[name] = requestqueue.Class{
			Patience: time.Duration(class.PatienceMs) * time.Millisecond,
			Long:     class.Long,
		}
	}
	return classes
}
