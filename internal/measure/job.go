package measure

import "time"

// job is one request of a caller, with what came of it.
type job struct {
	id       int
	customer int
	class    class
	service  bool
	// key is the idempotency key of a booking, empty for other calls.
	key    string
	prompt int
	tokens int
	// hint is the caller's bound of the generated tokens, zero if it gives none.
	hint    int
	arrival time.Duration
	// router is the entry router; it changes if that router dies.
	router int

	// waiting is set while the job waits at a router and no engine was asked.
	waiting bool
	// pending is set while the caller is about to send the job again.
	pending bool
	first   time.Duration
	ended   bool
	// run is the attempt that is on its way to a target or at it.
	run *run
	// executed counts how often a target ran the job to its end.
	executed int
	// attempts counts the runs that did not reach their target.
	attempts int
	// claim is the claim of a booking at its router.
	claim string
	// request is the job's number in the queue of its router.
	request uint64
	// retries counts how often the caller has sent a booking again.
	retries int
}

// cost returns the service of the whole job in units.
func (j *job) cost() float64 { return unitsOf(j, j.tokens) }

// unitsOf returns the service of a job in units after a number of tokens.
func unitsOf(j *job, tokens int) float64 {
	if j.service {
		return 1
	}
	return float64(j.prompt)/10 + float64(tokens)
}

// model returns the name of the model or service.
func (j *job) model() string {
	if j.service {
		return "shop"
	}
	return "writer"
}
