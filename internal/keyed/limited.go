package keyed

import (
	"context"
	"time"
)

// callLimit bounds one call to the store beyond the time that it was asked to wait.
const callLimit = 1200 * time.Millisecond

// limited is a topic whose calls end in time.
type limited struct {
	Topic
}

// WithReadTimeout returns a topic whose reads end soon after the time that they were asked to wait.
func WithReadTimeout(topic Topic) Topic { return limited{topic} }

// ReadNewest returns the newest record of each key.
func (l limited) ReadNewest(ctx context.Context) (Page, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(callLimit))
	defer cancel()
	return l.Topic.ReadNewest(ctx)
}

// Read returns the records from an offset on.
func (l limited) Read(ctx context.Context, from uint64, deadline time.Time) (Page, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(callLimit))
	defer cancel()
	return l.Topic.Read(ctx, from, deadline)
}
