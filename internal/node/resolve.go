package node

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/entry"
)

// resolveCustomers returns the limits and classes of all customers for the entry queue, and their weights for the scheduler.
// Both maps are keyed by the customer's number.
func resolveCustomers(state config.State) (map[uint32]entry.Customer, map[uint32]uint32) {
	customers := make(map[uint32]entry.Customer)
	weights := make(map[uint32]uint32)
	for _, customer := range state.Customers() {
		resolved, found := state.Customer(customer.Name)
		if !found {
			continue
		}
		weights[resolved.Number] = uint32(resolved.Weight)
		customers[resolved.Number] = entry.Customer{
			Limits: entry.Limits{
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
func resolveClasses(customer config.ResolvedCustomer) map[string]entry.Class {
	classes := make(map[string]entry.Class)
	for _, name := range customer.Classes() {
		class, _ := customer.Class(name)
		classes[name] = entry.Class{
			Patience: time.Duration(class.PatienceMs) * time.Millisecond,
			Long:     class.Long,
		}
	}
	return classes
}
