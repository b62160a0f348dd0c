// Package boottime reads the clock that keeps running while the machine is suspended (CLOCK_BOOTTIME). It serves to limit the
// age of information: the monotonic clock stops during a suspension, and the time of day may jump.
package boottime
