package requestqueue

// Costs of service in milli-units. Generating one token costs one unit.
const (
	milliUnitsPerOutputToken = 1000
	milliUnitsPerPromptToken = 100
	milliUnitsPerServiceCall = 1000
)

// TokenCost returns the cost in milli-units of a model call that reads prompt tokens and generates output tokens. Negative
// counts count as zero.
func TokenCost(prompt, generated int) uint64 {
	return milliUnitsPerPromptToken*uint64(max(prompt, 0)) + milliUnitsPerOutputToken*uint64(max(generated, 0))
}

// ServiceCost returns the cost in milli-units of one call of a plain service.
func ServiceCost() uint64 { return milliUnitsPerServiceCall }
