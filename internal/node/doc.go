// Package node joins the decision cores of one router.
//
// A node does no input or output and reads no clock: the process around it hands in what happened, calls Tick, and
// carries out the output. The same node runs in a router, under tests and in the measuring tool.
package node
