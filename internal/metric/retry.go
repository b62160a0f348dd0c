package metric

// RetryReason is the reason why a request was retried. Its text is a label value of the retry counter.
type RetryReason string

// Reasons of retries. Each has a counter.
const (
	// RetryCrashed is the retry of a request whose target crashed while it ran.
	RetryCrashed RetryReason = "crashed"
	// RetryRejected is the retry of a request that a target refused without running it.
	RetryRejected RetryReason = "rejected"
	// RetryUnreachable is the retry of a request whose target accepted no connection.
	RetryUnreachable RetryReason = "unreachable"
	// RetryLate is the retry of a request whose grant arrived after the deadline of the grant.
	RetryLate RetryReason = "late"
	// RetryFailed is the retry of an idempotent request to which a target responded with a failure.
	RetryFailed RetryReason = "failed"
	// RetryResumed is a new connection to a running stream, which goes on at the first token that has not arrived.
	RetryResumed RetryReason = "resumed"
)

// RetryReasons returns all reasons of retries.
func RetryReasons() []RetryReason {
	return []RetryReason{RetryCrashed, RetryRejected, RetryUnreachable, RetryLate, RetryFailed, RetryResumed}
}
