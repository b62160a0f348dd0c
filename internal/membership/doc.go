// Package membership tracks the hosts of the fleet as one router sees them: which routers are up, which targets may get new
// requests, and which router holds which role.
//
// A Tracker combines the platform's host list, load reports from targets and messages from peers into a View. It does no I/O,
// reads no clock and starts no goroutines; the router process calls it from one goroutine. A router is up if a message from it
// arrived in the last 2 s, or if no session with it was opened or attempted. It is leaving if the host list, its own heartbeat
// or a peer says so.
//
// A Tracker fetches the host list from a peer whose heartbeats report a newer version. Leaving marks spread faster, by gossip: a
// router forwards each mark that is new to it to all peers with a session. Marks are sent as a HostsOffer of version zero, whose
// entries hold only the name, the leaving mark and the incarnation of a host. An entry without the mark says that a marked
// incarnation has been replaced. Each session begins with all marks, because marks sent in a broken session may be lost.
//
// Roles are assigned by rendezvous hashing. Routers with the same host list and the same set of live routers assign them alike,
// and an assignment changes only if its holder stops being up or a router with a higher weight comes up.
package membership
