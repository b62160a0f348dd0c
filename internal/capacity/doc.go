// Package capacity measures the resource use of routers: processor time, memory and control traffic of real router
// processes on loopback at several sizes, with a line fitted through each series. docs/CAPACITY.md is based on its
// figures.
//
// The log service, the host list and the targets run inside the measuring process, so that only routers are measured.
package capacity
