package capacity

// Cost is the mean resource use of the routers of a fleet over a period.
type Cost struct {
	// CPUCores is the processor time per second of a router, 1 for one full core.
	CPUCores float64 `json:"core"`
	// MemoryBytes is a router's resident memory in bytes.
	MemoryBytes float64 `json:"memory"`
	// ControlBytesPerSecond is the control traffic that a router sends.
	ControlBytesPerSecond float64 `json:"control"`
	// CrossRegionBytesPerSecond is the part of ControlBytesPerSecond that goes to other regions.
	CrossRegionBytesPerSecond float64 `json:"cross"`
}

// costBetween returns the mean cost of the routers between two samplings; the samples of a router have the same index.
func costBetween(before, after []resourceSample) Cost {
	var cost Cost
	count := float64(len(before))
	for i := range before {
		seconds := after[i].at.Sub(before[i].at).Seconds()
		cost.CPUCores += (after[i].cpuSeconds - before[i].cpuSeconds) / seconds / count
		cost.ControlBytesPerSecond += (after[i].controlBytes - before[i].controlBytes) / seconds / count
		cost.CrossRegionBytesPerSecond += (after[i].crossRegionBytes - before[i].crossRegionBytes) / seconds / count
		cost.MemoryBytes += after[i].residentBytes / count
	}
	return cost
}
