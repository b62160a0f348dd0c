package measure

import "time"

// job is one request of a caller and its progress. Customers, routers and targets are known by their index.
type job struct {
	id        int
	customer  int
	class     class
	isService bool
	// idempotencyKey is the idempotency key of a booking, empty for other calls.
	idempotencyKey string
	// promptTokens and outputTokens are zero for service calls.
	promptTokens int
	outputTokens int
	// maxTokens is the caller's limit for the output tokens, zero if it gives none.
	maxTokens int
	arrival   time.Duration
	// router is the router that the caller sends the job to. It changes if that router is down.
	router int

	// isWaiting is set while the job waits at a router and is not sent to an engine.
	isWaiting bool
	// isResending is set while the caller waits to send the job again.
	isResending bool
	// firstTokenAt is the instant at which the caller receives the first token, taken as the end of the prefill. It is
	// zero before.
	firstTokenAt time.Duration
	// hasEnded is set once the caller has an answer or a refusal.
	hasEnded bool
	// attempt is the latest attempt, which is on its way to an engine or there; nil if the job has not been sent, or
	// waits again.
	attempt *attempt
	// completions counts how often an engine or service ran the job to its end.
	completions int
	// failedAttempts counts the attempts that did not reach their engine.
	failedAttempts int
	// claimID identifies the claim of a booking at its router.
	claimID string
	// requestID is the job's number in the queue of its router.
	requestID uint64
	// retries counts how often the caller has sent a booking again after a refusal.
	retries int
}

// costUnits returns the service that the whole job takes, in units.
func (j *job) costUnits() float64 { return serviceUnits(j, j.outputTokens) }

// serviceUnits returns the service that a job has taken after a number of output tokens, in units: an output token
// counts 1, a prompt token 0.1, and a service call 1.
func serviceUnits(j *job, tokens int) float64 {
	if j.isService {
		return 1
	}
	return float64(j.promptTokens)/10 + float64(tokens)
}

// modelOrServiceName returns the name of the model or service that the job calls.
func (j *job) modelOrServiceName() string {
	if j.isService {
		return "shop"
	}
	return "writer"
}
