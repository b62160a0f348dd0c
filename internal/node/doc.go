// Package node combines the decision cores of one router.
//
// A Node does no I/O and reads no clock: its caller passes in events, calls Tick and acts on the output. A router, the tests and
// the measuring tool run the same code.
package node
