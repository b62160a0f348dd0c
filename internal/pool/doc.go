// Package pool schedules waiting requests onto the slots of targets.
//
// A Scheduler has one poolScheduler for each pool that its router schedules. A poolScheduler keeps the waiting demands, the
// runs, the targets, the loans to other pools and the slots borrowed from them. Each tick expires old entries, grants slots
// to the customers with the lowest service counters, lends idle slots and sends reports. This state is kept in memory only:
// entry routers announce all their demands and runs again in each new session.
//
// Nothing in this package is safe for concurrent use, and nothing reads the clock: the caller passes the current time.
package pool
