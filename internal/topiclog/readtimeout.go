package topiclog

import (
	"context"
	"time"
)

// readTimeout limits the time of one read, in addition to the time that the read may wait for new records.
const readTimeout = 1200 * time.Millisecond

// readTimeoutTopic is a topic whose reads time out.
type readTimeoutTopic struct {
	Topic
}

// WithReadTimeout returns a topic whose reads fail if they take longer than the time that they may wait for new records, plus
// readTimeout. A read whose deadline has already passed does not wait for new records, but has readTimeout as well. Put is not limited.
func WithReadTimeout(topic Topic) Topic { return readTimeoutTopic{topic} }

// ReadNewest implements Topic.
func (t readTimeoutTopic) ReadNewest(ctx context.Context) (Page, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(readTimeout))
	defer cancel()
	return t.Topic.ReadNewest(ctx)
}

// Read implements Topic.
func (t readTimeoutTopic) Read(ctx context.Context, from uint64, deadline time.Time) (Page, error) {
	ctx, cancel := context.WithDeadline(ctx, latest(deadline, time.Now()).Add(readTimeout))
	defer cancel()
	return t.Topic.Read(ctx, from, deadline)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
