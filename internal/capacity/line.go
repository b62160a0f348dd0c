package capacity

import "math"

// Line is a straight line fitted by least squares.
type Line struct {
	// Slope is the increase of the value for each unit of X.
	Slope float64 `json:"slope"`
	// Intercept is the value at X = 0.
	Intercept float64 `json:"base"`
	// RSquared is the coefficient of determination, 1 for a perfect fit.
	RSquared float64 `json:"fit"`
}

// fitLine fits a line through one value of each point.
func fitLine(points []Point, value func(Point) float64) Line {
	count := float64(len(points))
	var sumX, sumY float64
	for _, point := range points {
		sumX += point.X
		sumY += value(point)
	}
	meanX, meanY := sumX/count, sumY/count
	var sumXX, sumXY, sumYY float64
	for _, point := range points {
		dx, dy := point.X-meanX, value(point)-meanY
		sumXX += dx * dx
		sumXY += dx * dy
		sumYY += dy * dy
	}
	if sumXX == 0 {
		return Line{Intercept: meanY}
	}
	line := Line{Slope: sumXY / sumXX, Intercept: meanY - sumXY/sumXX*meanX, RSquared: 1}
	if sumYY > 0 {
		line.RSquared = math.Min(1, sumXY*sumXY/(sumXX*sumYY))
	}
	return line
}
