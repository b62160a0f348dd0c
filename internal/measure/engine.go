package measure

import (
	"slices"
	"time"
)

// reportPeriod and reportLag are the period of load reports and the age of their figures.
const (
	reportPeriod = 500 * time.Millisecond
	reportLag    = 250 * time.Millisecond
)

// run is one attempt to run a job on an engine.
type run struct {
	job    *job
	engine *engine
	router int
	// life is the number of starts of the router when the run was sent.
	life int
	// grant is the number of the request at the router.
	grant uint64
	// prefill is the rest of the time to read the prompt, in seconds at full speed.
	prefill float64
	made    float64
	broken  bool
}

// units returns the service so far in units.
func (r *run) units() float64 {
	if r.prefill > 0 {
		return 0
	}
	return unitsOf(r.job, min(int(r.made), r.job.tokens))
}

// engine is a fake model engine or service replica: each running request gets a constant rate up to the batch size,
// and beyond that the total rate stays the same. It admits whatever arrives.
type engine struct {
	name    string
	zone    int
	service bool
	running []*run
	// coming is the number of runs on their way.
	coming int
	// load and loadAt are the newest published report.
	load   int
	loadAt time.Duration
}

// add admits a run.
func (e *engine) add(r *run) { e.running = append(e.running, r) }

// step advances all runs; emit is called for the service of each, and end for those that are whole.
func (e *engine) step(seconds float64, emit func(r *run, units float64), end func(r *run)) {
	if len(e.running) == 0 {
		return
	}
	share := seconds * min(1, float64(slots)/float64(len(e.running)))
	rate := float64(tokenRate)
	if e.service {
		rate = serviceRate
	}
	var done []*run
	for _, r := range e.running {
		before := r.units()
		if r.prefill > 0 {
			r.prefill -= share
		} else {
			r.made += share * rate
		}
		if units := r.units() - before; units > 0 {
			emit(r, units)
		}
		if r.whole() {
			done = append(done, r)
		}
	}
	if len(done) > 0 {
		e.running = slices.DeleteFunc(e.running, (*run).whole)
	}
	for _, r := range done {
		end(r)
	}
}

// whole reports whether the run has made its last token.
func (r *run) whole() bool { return r.prefill <= 0 && r.made >= float64(max(1, r.job.tokens)) }
