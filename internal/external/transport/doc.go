// Package transport sends HTTP requests to external systems and reports, for each one that fails, whether it may have run.
//
// If no connection could be opened, the error is an *outside.UnavailableError. A response with a status that the protocols
// send only before a request runs (4xx and 503) results in an *outside.RejectedError. Every other failure results in an
// *outside.CrashedError: the request may have run. A request that is not idempotent is sent at most once, because package
// net/http repeats it on a new connection only if no byte was written to the old one.
package transport
