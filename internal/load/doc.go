// Package load generates open-loop load: it starts calls at a given mean rate, whether or not earlier calls have ended, and
// summarizes their outcomes and latencies.
package load
