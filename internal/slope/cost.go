package slope

// Cost is what the routers of a fleet cost on average over a period.
type Cost struct {
	// Core is the part of one core that a router uses.
	Core float64 `json:"core"`
	// Memory is a router's resident memory in bytes.
	Memory float64 `json:"memory"`
	// Control is the control bytes that a router sends a second.
	Control float64 `json:"control"`
	// Cross is the part of Control that goes to other regions.
	Cross float64 `json:"cross"`
}

// costBetween returns the mean cost of the routers between two series of samples.
func costBetween(before, after []sample) Cost {
	var cost Cost
	count := float64(len(before))
	for i := range before {
		seconds := after[i].at.Sub(before[i].at).Seconds()
		cost.Core += (after[i].cpu - before[i].cpu) / seconds / count
		cost.Control += (after[i].control - before[i].control) / seconds / count
		cost.Cross += (after[i].cross - before[i].cross) / seconds / count
		cost.Memory += after[i].rss / count
	}
	return cost
}
