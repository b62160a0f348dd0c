package report

import (
	"fmt"
	"slices"
)

// quantiles holds the 50th, 95th and 99th percentiles.
type quantiles [3]int

// newQuantiles returns the quantiles of values, or zeros if there are none. It sorts values in place.
func newQuantiles(values []int) quantiles {
	var result quantiles
	slices.Sort(values)
	for i, fraction := range []float64{0.5, 0.95, 0.99} {
		if len(values) > 0 {
			result[i] = values[int(fraction*float64(len(values)-1))]
		}
	}
	return result
}

// String formats the quantiles as P50/P95/P99.
func (q quantiles) String() string { return fmt.Sprintf("%d/%d/%d", q[0], q[1], q[2]) }
