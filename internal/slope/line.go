package slope

import "math"

// Line is a straight line fitted by least squares.
type Line struct {
	// Slope is the growth for one unit.
	Slope float64 `json:"slope"`
	// Base is the value at zero.
	Base float64 `json:"base"`
	// Fit is the coefficient of determination, 1 for a perfect line.
	Fit float64 `json:"fit"`
}

// fitLine returns the line through one figure of points.
func fitLine(points []Point, figure func(Point) float64) Line {
	count := float64(len(points))
	var sumX, sumY float64
	for _, point := range points {
		sumX += point.X
		sumY += figure(point)
	}
	meanX, meanY := sumX/count, sumY/count
	var xx, xy, yy float64
	for _, point := range points {
		dx, dy := point.X-meanX, figure(point)-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	if xx == 0 {
		return Line{Base: meanY}
	}
	line := Line{Slope: xy / xx, Base: meanY - xy/xx*meanX, Fit: 1}
	if yy > 0 {
		line.Fit = math.Min(1, xy*xy/(xx*yy))
	}
	return line
}
