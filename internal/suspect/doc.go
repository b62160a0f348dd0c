// Package suspect detects requests that crash the targets on which they run.
//
// Each request that was on a target when it crashed gets a crash record. Routers exchange these records over their links and
// through a log stream. The records form a set: one that arrives twice, from a peer and from the log, counts once, and the order
// of arrival does not matter. A request with a crash record is a suspect. It may run again, but not on the same target as
// another suspect. After a second crash it is refused, unless another suspect on the target may have caused that crash.
//
// Nothing in this package is safe for concurrent use, and nothing reads the clock: the caller passes the current time.
package suspect
