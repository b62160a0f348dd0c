package capacity

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/external/logclient"
	"github.com/chicorydale/chicorydale/internal/external/transport"
	"github.com/chicorydale/chicorydale/internal/load"
	"github.com/chicorydale/chicorydale/pkg/client"
)

// measureClaims measures the cost of bookings, at 5, 20 and 60 bookings per second at each router.
func (b Bench) measureClaims(ctx context.Context) (Series, error) {
	series := Series{Name: "claims", Unit: "bookings a second at each router"}
	size := baseSize()
	for _, rate := range []float64{5, 20, 60} {
		point, err := b.measurePoint(ctx, size, rate, func(ctx context.Context, f *fleet, point *Point) error {
			plan := load.Plan{Rate: rate * float64(size.Routers), Duration: b.PointDuration, Seed: 1, MaxInFlight: 10000}
			return b.runBookings(ctx, f, plan, size.Customers, point)
		})
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}

// runBookings runs the bookings of a load plan and sets how many records they appended to the claim streams.
func (b Bench) runBookings(ctx context.Context, f *fleet, plan load.Plan, customers int, point *Point) error {
	logService := logclient.New(f.logAddress, transport.New())
	streams := make([]string, 0, claim.ShardCount)
	for shard := range claim.ShardCount {
		streams = append(streams, claim.StreamName(shard))
	}
	before, err := f.countRecords(ctx, logService, streams)
	if err != nil {
		return err
	}
	clients, err := f.newClients(customers)
	if err != nil {
		return err
	}
	for i := range customers {
		plan.Customers = append(plan.Customers, customerKey(i))
	}
	summary := load.Run(ctx, plan, func(ctx context.Context, call load.Call) load.Outcome {
		key, err := uuid.NewV7()
		if err == nil {
			_, err = clients[call.Customer].Invoke(ctx, serviceName, "book", client.InvokeRequest{IdempotencyKey: key.String()})
		}
		return outcomeOf(err, time.Now())
	})
	point.addCalls(summary)
	after, err := f.countRecords(ctx, logService, streams)
	point.AppendsPerSecond = float64(after-before) / b.PointDuration.Seconds()
	return err
}
