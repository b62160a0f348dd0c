// Package soak runs real router processes under faults from outside: signals, and a proxy before each router that delays, resets and blocks
// connections. A checker compares what callers got with what targets ran. The schedule of faults follows from a seed; the times at which
// requests meet them do not.
package soak
