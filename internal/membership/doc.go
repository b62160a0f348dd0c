// Package membership keeps a router's view of the hosts: which routers live, which targets may get work, and which
// router holds which role.
//
// A Tracker joins the platform's host list, load reports and the word of peers into a View. It does no I/O and reads no
// clock. A router is up if it was heard in the last 2 s or was never linked and never failed to be reached; it is
// leaving if the list, its own heartbeat or a peer said so.
//
// A host list is fetched from a peer whose heartbeats name a newer version. Leaving marks do not wait for it: a router
// passes on each mark that is new to it to all linked peers, as a HostsOffer of version zero, whose entries have only a
// name, the leaving mark and the host's incarnation, in the field link. An entry without the mark says that a marked
// incarnation is gone. A new session begins with all marks, since those of a broken session may be lost.
//
// Roles are rendezvous choices: each router that has the same list and the same live routers makes the same choice, and
// a choice changes only if its holder comes or goes.
package membership
