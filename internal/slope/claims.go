package slope

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/load"
	"github.com/chicorydale/chicorydale/internal/outside/logclient"
	"github.com/chicorydale/chicorydale/internal/outside/transport"
	"github.com/chicorydale/chicorydale/pkg/client"
)

// claims measures what one booking a second costs.
func (b Bench) claims(ctx context.Context) (Series, error) {
	series := Series{Name: "claims", Unit: "bookings a second at each router"}
	size := usual()
	for _, rate := range []float64{5, 20, 60} {
		point, err := b.point(ctx, size, rate, func(ctx context.Context, f *fleet, point *Point) error {
			plan := load.Plan{Rate: rate * float64(size.Routers), Duration: b.Period, Seed: 1, MaxInFlight: 10000}
			return b.book(ctx, f, plan, size.Customers, point)
		})
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}

// book makes the bookings of a plan.
func (b Bench) book(ctx context.Context, f *fleet, plan load.Plan, customers int, point *Point) error {
	log := logclient.New(f.log, transport.New())
	streams := make([]string, 0, claim.ShardCount)
	for shard := range claim.ShardCount {
		streams = append(streams, claim.StreamName(shard))
	}
	before, err := f.appends(ctx, log, streams)
	if err != nil {
		return err
	}
	callers, err := f.callers(customers)
	if err != nil {
		return err
	}
	for i := range customers {
		plan.Customers = append(plan.Customers, customerKey(i))
	}
	summary := load.Run(ctx, plan, func(ctx context.Context, call load.Call) load.Outcome {
		key, err := uuid.NewV7()
		if err == nil {
			_, err = callers[call.Customer].Invoke(ctx, shop, "book", client.InvokeRequest{IdempotencyKey: key.String()})
		}
		return outcome(err, time.Now())
	})
	point.count(summary)
	after, err := f.appends(ctx, log, streams)
	point.Appends = float64(after-before) / b.Period.Seconds()
	return err
}
