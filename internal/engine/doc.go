// Package engine predicts the time to the first byte of a target's answer from the observed times of earlier answers. It reads
// no clock and starts no goroutine.
package engine
