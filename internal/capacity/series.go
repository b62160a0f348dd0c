package capacity

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/emulator/transcript"
	"github.com/chicorydale/chicorydale/internal/load"
)

// Point is the measurement of one size in a series.
type Point struct {
	// X is the size, in the unit of the series.
	X float64 `json:"x"`
	// Cost is the mean cost of a router at that size.
	Cost Cost `json:"cost"`
	// Answered and Failed count the calls that were answered, and those that were refused or failed.
	Answered int `json:"answered"`
	Failed   int `json:"failed"`
	// AppendsPerSecond is the rate of appends to the claim streams. It is set for the series claims only.
	AppendsPerSecond float64 `json:"appends"`
}

// Series is the cost of a router at several sizes.
type Series struct {
	// Name says what grows. Unit is the unit of X.
	Name string `json:"name"`
	Unit string `json:"unit"`
	// Points are in ascending order of X.
	Points []Point `json:"points"`
	// CPULine, MemoryLine and ControlLine are the lines fitted through the points.
	CPULine     Line `json:"core"`
	MemoryLine  Line `json:"memory"`
	ControlLine Line `json:"control"`
}

// fit returns the series with the fitted lines.
func (s Series) fit() Series {
	s.CPULine = fitLine(s.Points, func(p Point) float64 { return p.Cost.CPUCores })
	s.MemoryLine = fitLine(s.Points, func(p Point) float64 { return p.Cost.MemoryBytes })
	s.ControlLine = fitLine(s.Points, func(p Point) float64 { return p.Cost.ControlBytesPerSecond })
	return s
}

// baseSize returns the fleet size that each series varies in one dimension.
func baseSize() Size {
	return Size{Routers: 3, Targets: 6, Customers: 16, Slots: 64, TokenInterval: time.Millisecond}
}

// Bench measures series on fleets of real router processes.
type Bench struct {
	// Binary is the path of the router's program.
	Binary string
	// PointDuration is the time over which a point is measured.
	PointDuration time.Duration
}

// Run measures the series with the given names, or all series if none is given. After an error it returns the series
// completed before.
func (b Bench) Run(ctx context.Context, names []string) ([]Series, error) {
	measurements := []struct {
		name    string
		measure func(context.Context) (Series, error)
	}{
		{"peers", b.measurePeers},
		{"customers", b.measureCustomers},
		{"targets", b.measureTargets},
		{"requests", b.measureRequests},
		{"tokens", b.measureTokens},
		{"backlogged", b.measureBacklogged},
		{"changes", b.measureChanges},
		{"claims", b.measureClaims},
	}
	var measured []Series
	for _, measurement := range measurements {
		if len(names) > 0 && !slices.Contains(names, measurement.name) {
			continue
		}
		series, err := measurement.measure(ctx)
		if err != nil {
			return measured, fmt.Errorf("series %s: %w", measurement.name, err)
		}
		measured = append(measured, series.fit())
	}
	return measured, nil
}

// workload puts load on a fleet while a point is measured, and adds the calls to the point.
type workload func(ctx context.Context, f *fleet, point *Point) error

// measurePoint starts a fleet, measures one point and stops the fleet. Without a workload the fleet is idle.
func (b Bench) measurePoint(ctx context.Context, size Size, x float64, applyLoad workload) (Point, error) {
	f, err := startFleet(ctx, b.Binary, size)
	if err != nil {
		return Point{}, err
	}
	defer f.stop()
	if err := sleep(ctx, settleTime); err != nil {
		return Point{}, err
	}
	before, err := f.sampleRouters(ctx)
	if err != nil {
		return Point{}, err
	}
	point := Point{X: x}
	if applyLoad == nil {
		err = sleep(ctx, b.PointDuration)
	} else {
		err = applyLoad(ctx, f, &point)
	}
	if err != nil {
		return Point{}, err
	}
	after, err := f.sampleRouters(ctx)
	if err != nil {
		return Point{}, err
	}
	point.Cost = costBetween(before, after)
	return point, nil
}

// sleep waits for a period or until the context is done, and returns the error of the context.
func sleep(ctx context.Context, period time.Duration) error {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// measureIdle measures a series of idle fleets.
func (b Bench) measureIdle(ctx context.Context, series Series, sizes []int, size func(int) Size) (Series, error) {
	for _, x := range sizes {
		point, err := b.measurePoint(ctx, size(x), float64(x), nil)
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}

// measurePeers measures the cost of each additional router. Up to 16 routers are linked to all others; beyond that, only
// to those that they need.
func (b Bench) measurePeers(ctx context.Context) (Series, error) {
	series := Series{Name: "peers", Unit: "routers"}
	return b.measureIdle(ctx, series, []int{3, 9, 15, 27, 60}, func(x int) Size {
		size := baseSize()
		size.Routers = x
		return size
	})
}

// measureCustomers measures the cost of each additional configured customer.
func (b Bench) measureCustomers(ctx context.Context) (Series, error) {
	series := Series{Name: "customers", Unit: "configured customers"}
	return b.measureIdle(ctx, series, []int{16, 1000, 3000, 5800}, func(x int) Size {
		size := baseSize()
		size.Customers = x
		return size
	})
}

// measureTargets measures the cost of each additional target.
func (b Bench) measureTargets(ctx context.Context) (Series, error) {
	series := Series{Name: "targets", Unit: "targets"}
	return b.measureIdle(ctx, series, []int{6, 48, 96, 192}, func(x int) Size {
		size := baseSize()
		size.Targets = x
		return size
	})
}

// measureRequests measures the cost of one request per second.
func (b Bench) measureRequests(ctx context.Context) (Series, error) {
	series := Series{Name: "requests", Unit: "requests a second at each router"}
	size := baseSize()
	for _, rate := range []float64{5, 20, 50, 100} {
		point, err := b.measurePoint(ctx, size, rate, func(ctx context.Context, f *fleet, point *Point) error {
			plan := load.Plan{Rate: rate * float64(size.Routers), Duration: b.PointDuration, Seed: 1, MaxInFlight: 10000}
			return f.runModelCalls(ctx, plan, size.Customers, 16, point)
		})
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}

// measureTokens measures the cost of one generated token per second, at 20 requests per second at each router.
func (b Bench) measureTokens(ctx context.Context) (Series, error) {
	const rate = 20
	series := Series{Name: "tokens", Unit: "tokens a second at each router"}
	size := baseSize()
	for _, bound := range []int{16, 64, 128, 256} {
		length := transcript.New(promptText, bound).TokenCount()
		point, err := b.measurePoint(ctx, size, float64(rate*length), func(ctx context.Context, f *fleet, point *Point) error {
			plan := load.Plan{Rate: rate * float64(size.Routers), Duration: b.PointDuration, Seed: 1, MaxInFlight: 10000}
			return f.runModelCalls(ctx, plan, size.Customers, bound, point)
		})
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}

// measureBacklogged measures the cost of one customer with waiting requests. The targets are slow, so that nearly all
// requests wait.
func (b Bench) measureBacklogged(ctx context.Context) (Series, error) {
	series := Series{Name: "backlogged", Unit: "customers with waiting requests"}
	for _, count := range []int{10, 100, 300, 580} {
		size := baseSize()
		size.Customers, size.Slots, size.TokenInterval = count, 8, 50*time.Millisecond
		point, err := b.measurePoint(ctx, size, float64(count), func(ctx context.Context, f *fleet, point *Point) error {
			plan := load.Plan{
				Rate: 10 * float64(count) / b.PointDuration.Seconds(), Duration: b.PointDuration, Seed: 1, MaxInFlight: 100000,
			}
			limited, cancel := context.WithDeadline(ctx, time.Now().Add(b.PointDuration))
			defer cancel()
			return f.runModelCalls(limited, plan, count, 64, point)
		})
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}

// measureChanges measures the cost of one configuration change per second with 1,000 customers.
func (b Bench) measureChanges(ctx context.Context) (Series, error) {
	series := Series{Name: "changes", Unit: "configuration changes a second"}
	size := baseSize()
	size.Customers = changedCustomers
	for _, rate := range []float64{0, 2, 5, 10} {
		point, err := b.measurePoint(ctx, size, rate, func(ctx context.Context, f *fleet, point *Point) error {
			return b.publishAtRate(ctx, f, rate, point)
		})
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}

// publishAtRate publishes changes of one customer's weight at a rate per second.
func (b Bench) publishAtRate(ctx context.Context, f *fleet, rate float64, point *Point) error {
	if rate == 0 {
		return sleep(ctx, b.PointDuration)
	}
	count := int(math.Round(rate * b.PointDuration.Seconds()))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for i := range count {
		change := config.Change{ID: fmt.Sprintf("weight-%d", i), PutCustomers: []config.Customer{{
			Name: fmt.Sprintf("customer-%d", i%changedCustomers), Template: "usual", Weight: i%9 + 1,
		}}}
		if err := f.publish(ctx, change); err != nil {
			return err
		}
		point.Answered++
		<-ticker.C
	}
	return f.awaitVersion(ctx)
}

// changedCustomers is the number of customers whose weights are changed.
const changedCustomers = 1000
