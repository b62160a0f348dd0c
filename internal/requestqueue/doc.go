// Package requestqueue implements the request queue of an entry router: it tracks the waiting and running requests that callers
// sent to this router.
//
// A Queue enforces the admission limits of each customer, announces waiting requests to the scheduler of the home pool of
// their model, accepts grants of that scheduler, and reports the progress and the end of each run to it. It refuses requests
// whose deadline passes while they wait.
//
// Service is measured in milli-units; see TokenCost. A Queue does no I/O, reads no clock and starts no goroutines. The router
// process calls it from one goroutine, passes in the time, and sends the messages that Tick returns.
package requestqueue
