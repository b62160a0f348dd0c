package report

import (
	"fmt"
	"slices"
)

// quantiles are the values below which 50, 95 and 99 in 100 values lie.
type quantiles [3]int

// newQuantiles returns the quantiles of values, which it sorts.
func newQuantiles(values []int) quantiles {
	var picked quantiles
	slices.Sort(values)
	for i, part := range []float64{0.5, 0.95, 0.99} {
		if len(values) > 0 {
			picked[i] = values[int(part*float64(len(values)-1))]
		}
	}
	return picked
}

// String returns the quantiles joined by slashes.
func (q quantiles) String() string { return fmt.Sprintf("%d/%d/%d", q[0], q[1], q[2]) }
