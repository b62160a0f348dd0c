package measure

import (
	"slices"
	"time"
)

// Quantiles are the values below which 50, 95 and 99 in 100 latencies lie, in milliseconds.
type Quantiles [3]float64

// Result holds the figures of one run.
type Result struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	// Gap is the largest gap in weighted units, and Bound its largest share of a pair's derived bound.
	Gap   float64 `json:"gap"`
	Bound float64 `json:"bound_share"`
	// Used is the busy share of slots while any request waits.
	Used float64 `json:"used"`
	// Wasted is the share of slots that are idle while there is a waiting request for each of them.
	Wasted float64 `json:"wasted"`
	// First and Whole are by class.
	First map[string]Quantiles `json:"first_ms"`
	Whole map[string]Quantiles `json:"whole_ms"`
	// Bytes are control bytes a second for each router, and Remote those across regions for the fleet.
	Bytes  float64 `json:"bytes_node_second"`
	Remote float64 `json:"bytes_remote_second"`
	// Requests are all requests, Answered those with a whole answer, and Refusals the others by reason.
	Requests int            `json:"requests"`
	Answered int            `json:"answered"`
	Refusals map[string]int `json:"refusals"`
	// Retries counts the bookings that callers sent again.
	Retries int `json:"booking_retries"`
	// Lost counts requests without an end, Doubled second ends, and Twice bookings that ran more than once.
	Lost    int `json:"lost"`
	Doubled int `json:"doubled"`
	Twice   int `json:"twice"`
}

// result sums up a run.
func (w *world) result(policy string, seed uint64) Result {
	r, d := w.record, w.deployment
	seconds := (w.length - w.warmUp()).Seconds()
	out := Result{
		Deployment: d.Name, Scenario: w.scenario.Name, Policy: policy, Seed: seed, Used: 1,
		First: quantiles(r.firsts), Whole: quantiles(r.wholes), Refusals: r.refusals, Retries: r.retries,
		Bytes: float64(r.bytes) / seconds / float64(len(w.lives)), Remote: float64(r.remote) / seconds,
		Requests: len(w.jobs), Lost: r.open, Doubled: r.doubled,
	}
	out.Gap, out.Bound = r.gap.largest(w.bound)
	if r.slotTime > 0 {
		out.Used, out.Wasted = r.busy/r.slotTime, r.wasted/r.slotTime
	}
	out.Answered = out.Requests - out.Lost
	for _, count := range r.refusals {
		out.Answered -= count
	}
	for _, j := range w.jobs {
		if j.key != "" && j.executed > 1 {
			out.Twice++
		}
	}
	return out
}

// bound returns the bound of the gap of two customers: the largest request of each, and what the schedulers of all
// regions serve in one exchange period across regions, over the smaller weight.
func (w *world) bound(a, b int) float64 {
	weight := float64(min(w.deployment.weight(a), w.deployment.weight(b)))
	exchange := time.Second
	return w.record.largest[a] + w.record.largest[b] + exchange.Seconds()*w.deployment.capacity()/weight
}

// quantiles sorts latencies and picks the quantiles.
func quantiles(all map[string][]time.Duration) map[string]Quantiles {
	out := make(map[string]Quantiles, len(all))
	for name, latencies := range all {
		slices.Sort(latencies)
		var picked Quantiles
		for i, q := range []float64{0.5, 0.95, 0.99} {
			picked[i] = float64(latencies[int(q*float64(len(latencies)-1))].Microseconds()) / 1000
		}
		out[name] = picked
	}
	return out
}
