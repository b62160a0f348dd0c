// Package quarantine detects what crashes targets and says which requests to refuse because of it.
//
// A crash may be caused by a whole request that is sent again and again, or by a part of its prompt that requests which are
// otherwise different share. Both are identified by a fingerprint. When a target crashes, each fingerprint of a request that it
// had not begun to answer gets a crash record. Routers exchange the records over their links, because each router sees only some
// of the crashes. A fingerprint with several records is quarantined: requests with it are refused.
//
// Sound requests that were on the same targets get records as well. A request that is answered completely clears the records of all
// its fingerprints, at all routers. So parts that many requests share are never quarantined for long, and what crashes every target on
// which it runs is never cleared. While the evidence is weak, single requests are let through as probes. Each probe is claimed in the store
// before, so that all routers together send few of them.
//
// The records form a set in which a cleared record stays cleared, so the order in which they arrive does not matter. Nothing in this
// package is safe for concurrent use, and nothing reads the clock: the caller passes the current time.
package quarantine
