package metric

// RetryReason is the reason for which a request was tried again.
type RetryReason string

// Reasons of retries. Each has a counter.
const (
	// RetryCrashed is a request that was on a target when it crashed.
	RetryCrashed RetryReason = "crashed"
	// RetryRejected is a request that a target refused without running it.
	RetryRejected RetryReason = "rejected"
	// RetryUnreachable is a request whose target accepted no connection.
	RetryUnreachable RetryReason = "unreachable"
	// RetryLate is a request whose grant came after the grant's deadline.
	RetryLate RetryReason = "late"
	// RetryFailed is an idempotent request that a target answered with a failure.
	RetryFailed RetryReason = "failed"
	// RetryResumed is a stream that was attached to again at the next missing token.
	RetryResumed RetryReason = "resumed"
)

// RetryReasons returns all reasons of retries.
func RetryReasons() []RetryReason {
	return []RetryReason{RetryCrashed, RetryRejected, RetryUnreachable, RetryLate, RetryFailed, RetryResumed}
}
