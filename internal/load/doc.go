// Package load makes calls at a given rate, whether or not earlier ones have been answered, and sums up their outcomes.
package load
