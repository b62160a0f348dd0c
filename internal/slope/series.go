package slope

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

// Point is one measured size of a series.
type Point struct {
	// X is the size, in the unit of the series.
	X float64 `json:"x"`
	// Cost is the mean cost of a router at that size.
	Cost Cost `json:"cost"`
	// Answered and Failed count the calls of a loaded point.
	Answered int `json:"answered"`
	Failed   int `json:"failed"`
	// Appends is the number of appends to the claim streams a second, for claims only.
	Appends float64 `json:"appends"`
}

// Series is a cost measured at several sizes.
type Series struct {
	// Name says what grows; Unit is what X counts for each router.
	Name string `json:"name"`
	Unit string `json:"unit"`
	// Points are in the order of X.
	Points []Point `json:"points"`
	// Core, Memory and Control are the lines through the points.
	Core    Line `json:"core"`
	Memory  Line `json:"memory"`
	Control Line `json:"control"`
}

// fit computes the lines through the points.
func (s Series) fit() Series {
	s.Core = fitLine(s.Points, func(p Point) float64 { return p.Cost.Core })
	s.Memory = fitLine(s.Points, func(p Point) float64 { return p.Cost.Memory })
	s.Control = fitLine(s.Points, func(p Point) float64 { return p.Cost.Control })
	return s
}

// usual is the fleet that a series changes in one dimension.
func usual() Size {
	return Size{Routers: 3, Targets: 6, Customers: 16, Slots: 64, Interval: time.Millisecond}
}

// Bench measures series.
type Bench struct {
	// Binary is the path of the router's program.
	Binary string
	// Period is the time over which a point is measured.
	Period time.Duration
}

// Run measures all series whose names are wanted; none means all.
func (b Bench) Run(ctx context.Context, wanted []string) ([]Series, error) {
	all := []struct {
		name    string
		measure func(context.Context) (Series, error)
	}{
		{"peers", b.peers},
		{"customers", b.customers},
		{"targets", b.targets},
		{"requests", b.requests},
		{"tokens", b.tokens},
		{"backlogged", b.backlogged},
		{"changes", b.changes},
		{"claims", b.claims},
	}
	var measured []Series
	for _, each := range all {
		if len(wanted) > 0 && !slices.Contains(wanted, each.name) {
			continue
		}
		series, err := each.measure(ctx)
		if err != nil {
			return measured, fmt.Errorf("series %s: %w", each.name, err)
		}
		measured = append(measured, series.fit())
	}
	return measured, nil
}

// work loads a fleet while a point is measured, and counts what came of it.
type work func(ctx context.Context, f *fleet, point *Point) error

// point measures one size. Without work the fleet idles.
func (b Bench) point(ctx context.Context, size Size, x float64, busy work) (Point, error) {
	f, err := startFleet(ctx, b.Binary, size)
	if err != nil {
		return Point{}, err
	}
	defer f.stop()
	if err := wait(ctx, settle); err != nil {
		return Point{}, err
	}
	before, err := f.samples(ctx)
	if err != nil {
		return Point{}, err
	}
	point := Point{X: x}
	if busy == nil {
		err = wait(ctx, b.Period)
	} else {
		err = busy(ctx, f, &point)
	}
	if err != nil {
		return Point{}, err
	}
	after, err := f.samples(ctx)
	if err != nil {
		return Point{}, err
	}
	point.Cost = costBetween(before, after)
	return point, nil
}

// wait waits unless the context ends first.
func wait(ctx context.Context, period time.Duration) error {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// idle measures a series of idle fleets.
func (b Bench) idle(ctx context.Context, series Series, xs []int, size func(int) Size) (Series, error) {
	for _, x := range xs {
		point, err := b.point(ctx, size(x), float64(x), nil)
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}

// peers measures what one more router costs each router. Up to 16 routers all are linked; beyond, only those that need
// each other.
func (b Bench) peers(ctx context.Context) (Series, error) {
	series := Series{Name: "peers", Unit: "routers"}
	return b.idle(ctx, series, []int{3, 9, 15, 27, 60}, func(x int) Size {
		size := usual()
		size.Routers = x
		return size
	})
}

// customers measures what one more configured customer costs.
func (b Bench) customers(ctx context.Context) (Series, error) {
	series := Series{Name: "customers", Unit: "configured customers"}
	return b.idle(ctx, series, []int{16, 1000, 3000, 5800}, func(x int) Size {
		size := usual()
		size.Customers = x
		return size
	})
}

// targets measures what one more target costs.
func (b Bench) targets(ctx context.Context) (Series, error) {
	series := Series{Name: "targets", Unit: "targets"}
	return b.idle(ctx, series, []int{6, 48, 96, 192}, func(x int) Size {
		size := usual()
		size.Targets = x
		return size
	})
}

// requests measures what one request a second costs.
func (b Bench) requests(ctx context.Context) (Series, error) {
	series := Series{Name: "requests", Unit: "requests a second at each router"}
	size := usual()
	for _, rate := range []float64{5, 20, 50, 100} {
		point, err := b.point(ctx, size, rate, func(ctx context.Context, f *fleet, point *Point) error {
			plan := load.Plan{Rate: rate * float64(size.Routers), Duration: b.Period, Seed: 1, MaxInFlight: 10000}
			return f.generate(ctx, plan, size.Customers, 16, point)
		})
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}

// tokens measures what one generated token a second costs, at 20 requests a second at each router.
func (b Bench) tokens(ctx context.Context) (Series, error) {
	const rate = 20
	series := Series{Name: "tokens", Unit: "tokens a second at each router"}
	size := usual()
	for _, bound := range []int{16, 64, 128, 256} {
		length := transcript.New(prompt, bound).TokenCount()
		point, err := b.point(ctx, size, float64(rate*length), func(ctx context.Context, f *fleet, point *Point) error {
			plan := load.Plan{Rate: rate * float64(size.Routers), Duration: b.Period, Seed: 1, MaxInFlight: 10000}
			return f.generate(ctx, plan, size.Customers, bound, point)
		})
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}

// backlogged measures what one customer with waiting requests costs: the targets are slow, so that nearly all requests
// wait.
func (b Bench) backlogged(ctx context.Context) (Series, error) {
	series := Series{Name: "backlogged", Unit: "customers with waiting requests"}
	for _, count := range []int{10, 100, 300, 580} {
		size := usual()
		size.Customers, size.Slots, size.Interval = count, 8, 50*time.Millisecond
		point, err := b.point(ctx, size, float64(count), func(ctx context.Context, f *fleet, point *Point) error {
			plan := load.Plan{
				Rate: 10 * float64(count) / b.Period.Seconds(), Duration: b.Period, Seed: 1, MaxInFlight: 100000,
			}
			limited, cancel := context.WithDeadline(ctx, time.Now().Add(b.Period))
			defer cancel()
			return f.generate(limited, plan, count, 64, point)
		})
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}

// changes measures what one configuration change a second costs at 1,000 customers.
func (b Bench) changes(ctx context.Context) (Series, error) {
	series := Series{Name: "changes", Unit: "configuration changes a second"}
	size := usual()
	size.Customers = changedCustomers
	for _, rate := range []float64{0, 2, 5, 10} {
		point, err := b.point(ctx, size, rate, func(ctx context.Context, f *fleet, point *Point) error {
			return b.publishAt(ctx, f, rate, point)
		})
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}

// publishAt publishes changes of one customer's weight at a rate.
func (b Bench) publishAt(ctx context.Context, f *fleet, rate float64, point *Point) error {
	if rate == 0 {
		return wait(ctx, b.Period)
	}
	count := int(math.Round(rate * b.Period.Seconds()))
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
