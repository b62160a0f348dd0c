package measure

import (
	"slices"
	"time"
)

// Quantiles holds the 50th, 95th and 99th percentile of latencies, in milliseconds.
type Quantiles [3]float64

// Result holds the figures of one simulation.
type Result struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	// MaxGap is the largest fairness gap of two customers in weighted units, and MaxBoundShare the largest ratio of a
	// pair's gap to its derived bound.
	MaxGap        float64 `json:"gap"`
	MaxBoundShare float64 `json:"bound_share"`
	// UsedShare is the share of busy slots while any model call waits, between 0 and 1.
	UsedShare float64 `json:"used"`
	// WastedShare is the share of slots that are idle while a model call waits for each of them.
	WastedShare float64 `json:"wasted"`
	// FirstTokenLatency and TotalLatency are by class; all service calls are one class.
	FirstTokenLatency map[string]Quantiles `json:"first_ms"`
	TotalLatency      map[string]Quantiles `json:"whole_ms"`
	// ControlBytesPerRouter is control traffic in bytes per second and router, and CrossRegionBytes that between regions
	// in bytes per second for the fleet.
	ControlBytesPerRouter float64 `json:"bytes_node_second"`
	CrossRegionBytes      float64 `json:"bytes_remote_second"`
	// Requests counts all requests, Answered those with a complete answer, and Refusals the others by code.
	Requests int            `json:"requests"`
	Answered int            `json:"answered"`
	Refusals map[string]int `json:"refusals"`
	// BookingRetries counts how often callers sent a booking again.
	BookingRetries int `json:"booking_retries"`
	// Lost counts requests that never ended, DuplicateEnds requests that ended again, and RepeatedBookings bookings that
	// ran more than once.
	Lost             int `json:"lost"`
	DuplicateEnds    int `json:"doubled"`
	RepeatedBookings int `json:"twice"`
}

// result returns the figures of the simulation.
func (sim *simulation) result(policy string, seed uint64) Result {
	r, d := sim.recorder, sim.deployment
	seconds := (sim.loadDuration - sim.warmUpTime()).Seconds()
	out := Result{
		Deployment: d.Name, Scenario: sim.scenario.Name, Policy: policy, Seed: seed, UsedShare: 1,
		FirstTokenLatency: latencyQuantiles(r.firstTokenLatencies), TotalLatency: latencyQuantiles(r.totalLatencies),
		Refusals: r.refusals, BookingRetries: r.bookingRetries,
		ControlBytesPerRouter: float64(r.controlBytes) / seconds / float64(len(sim.incarnations)),
		CrossRegionBytes:      float64(r.crossRegionBytes) / seconds,
		Requests:              len(sim.jobs), Lost: r.openJobs, DuplicateEnds: r.duplicateEnds,
	}
	out.MaxGap, out.MaxBoundShare = r.gap.maxGap(sim.gapBound)
	if r.totalSlotSteps > 0 {
		out.UsedShare, out.WastedShare = r.busySlotSteps/r.totalSlotSteps, r.wastedSlotSteps/r.totalSlotSteps
	}
	out.Answered = out.Requests - out.Lost
	for _, count := range r.refusals {
		out.Answered -= count
	}
	for _, j := range sim.jobs {
		if j.idempotencyKey != "" && j.completions > 1 {
			out.RepeatedBookings++
		}
	}
	return out
}

// gapBound returns the bound of the gap of two customers: the largest request of each, plus the service of all
// schedulers in one exchange period between regions divided by the smaller weight.
func (sim *simulation) gapBound(a, b int) float64 {
	weight := float64(min(sim.deployment.weight(a), sim.deployment.weight(b)))
	exchangePeriod := time.Second
	return sim.recorder.maxWeightedCost[a] + sim.recorder.maxWeightedCost[b] +
		exchangePeriod.Seconds()*sim.deployment.unitsPerSecond()/weight
}

// latencyQuantiles sorts the latencies of each class and returns their quantiles.
func latencyQuantiles(latenciesByClass map[string][]time.Duration) map[string]Quantiles {
	out := make(map[string]Quantiles, len(latenciesByClass))
	for class, latencies := range latenciesByClass {
		slices.Sort(latencies)
		var picked Quantiles
		for i, quantile := range []float64{0.5, 0.95, 0.99} {
			picked[i] = float64(latencies[int(quantile*float64(len(latencies)-1))].Microseconds()) / 1000
		}
		out[class] = picked
	}
	return out
}
