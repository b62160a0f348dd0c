package entry

// Costs in milli-units: one generated token costs one unit.
const (
	tokenCost   = 1000
	promptCost  = 100
	serviceCost = 1000
)

// TokenCost returns the service of a model call in milli-units.
func TokenCost(prompt, generated int) uint64 {
	return promptCost*uint64(max(prompt, 0)) + tokenCost*uint64(max(generated, 0))
}

// ServiceCost returns the service of a call of a plain service in milli-units.
func ServiceCost() uint64 { return serviceCost }
