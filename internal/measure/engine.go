package measure

import (
	"slices"
	"time"
)

// Timing of load reports: an engine reports its load every loadReportPeriod, and a report reaches the routers
// loadReportDelay later.
const (
	loadReportPeriod = 500 * time.Millisecond
	loadReportDelay  = 250 * time.Millisecond
)

// attempt is one attempt to run a job on an engine.
type attempt struct {
	job    *job
	engine *engine
	router int
	// incarnation is the number of starts that the router had when it sent the attempt.
	incarnation int
	// grantNumber is the number of the grant that the router sent the attempt with, zero for a baseline.
	grantNumber uint64
	// prefillLeft is the remaining time to read the prompt, in seconds at full speed.
	prefillLeft float64
	// generated is the number of output tokens so far, or the completed part of a service call.
	generated float64
	// isCutOff is set once the isolation of a zone has interrupted the attempt.
	isCutOff bool
}

// servedUnits returns the service delivered so far, in units. Reading the prompt counts once it is complete.
func (a *attempt) servedUnits() float64 {
	if a.prefillLeft > 0 {
		return 0
	}
	return serviceUnits(a.job, min(int(a.generated), a.job.outputTokens))
}

// engine is a fake model engine or service replica. Up to the batch size each running attempt gets a constant rate, and
// beyond that all attempts share the rate of a full batch. It admits every attempt.
type engine struct {
	name      string
	zone      int
	isService bool
	running   []*attempt
	// inFlight is the number of attempts on their way to the engine.
	inFlight int
	// reportedLoad is the number of running attempts in the newest published report, taken at reportedAt.
	reportedLoad int
	reportedAt   time.Duration
}

// admit adds an attempt to the running ones.
func (e *engine) admit(a *attempt) { e.running = append(e.running, a) }

// step advances all running attempts. It calls onService with the units that each was served in this step, and
// onComplete for those that it completes.
func (e *engine) step(seconds float64, onService func(a *attempt, units float64), onComplete func(a *attempt)) {
	if len(e.running) == 0 {
		return
	}
	effectiveSeconds := seconds * min(1, float64(slotsPerEngine)/float64(len(e.running)))
	rate := float64(tokensPerSecond)
	if e.isService {
		rate = serviceCallsPerSecond
	}
	var completed []*attempt
	for _, a := range e.running {
		before := a.servedUnits()
		if a.prefillLeft > 0 {
			a.prefillLeft -= effectiveSeconds
		} else {
			a.generated += effectiveSeconds * rate
		}
		if units := a.servedUnits() - before; units > 0 {
			onService(a, units)
		}
		if a.isComplete() {
			completed = append(completed, a)
		}
	}
	if len(completed) > 0 {
		e.running = slices.DeleteFunc(e.running, (*attempt).isComplete)
	}
	for _, a := range completed {
		onComplete(a)
	}
}

// isComplete reports whether the attempt has generated its last token, or completed the service call.
func (a *attempt) isComplete() bool {
	return a.prefillLeft <= 0 && a.generated >= float64(max(1, a.job.outputTokens))
}
