// Package entry keeps the waiting and running requests of the callers of one router.
//
// A Queue checks the flood limits of each customer, announces waiting requests to the schedulers of their home pools,
// takes over the grants of those schedulers, and reports progress and ends of runs. It refuses requests whose deadline
// passes. It performs no input or output; the router process drives it.
package entry
