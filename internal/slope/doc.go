// Package slope measures what routers cost: processor time, memory and control bytes of real router processes on
// loopback at several sizes, with a line fitted through each series. docs/CAPACITY.md rests on its figures.
//
// Log service, host list and targets run inside the measuring process, so that only routers are measured.
package slope
