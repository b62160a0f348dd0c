package node

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/entry"
)

// resolve returns what the entry queue and the scheduler need of a configuration.
func resolve(state config.State) (map[uint32]entry.Customer, map[uint32]uint32) {
	customers := make(map[uint32]entry.Customer)
	weights := make(map[uint32]uint32)
	for _, customer := range state.Customers() {
		parameters, found := state.Customer(customer.Name)
		if !found {
			continue
		}
		weights[parameters.Number] = uint32(parameters.Weight)
		customers[parameters.Number] = entry.Customer{
			Limits: entry.Limits{
				MaxWaiting:      parameters.Limits.Waiting,
				MaxWaitingBytes: int(parameters.Limits.WaitingBytes),
				MaxOpenRequests: parameters.Limits.Connections,
			},
			Classes: classes(parameters),
		}
	}
	return customers, weights
}

// classes returns a customer's classes as the entry queue needs them.
func classes(parameters config.ResolvedCustomer) map[string]entry.Class {
	resolved := make(map[string]entry.Class)
	for _, name := range parameters.Classes() {
		class, _ := parameters.Class(name)
		resolved[name] = entry.Class{
			Patience: time.Duration(class.PatienceMs) * time.Millisecond,
			Long:     class.Long,
		}
	}
	return resolved
}
