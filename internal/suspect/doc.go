// Package suspect finds the requests that crash the targets that run them.
//
// Each request that was on a target when the target crashed gets a crash record. The records are a set: the same record
// told twice, by a peer and by the log, counts once, and their order does not matter. A request with one record runs
// again, apart from other suspects; with a second one it is refused.
package suspect
