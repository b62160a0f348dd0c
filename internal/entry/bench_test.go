package entry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/chicorydale/chicorydale/internal/entry"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// BenchmarkRequest measures one request from its submission to its end at the entry router, and the bytes that it sends,
// with 1,000 other requests waiting.
func BenchmarkRequest(b *testing.B) {
	q := newQueue(entry.Limits{})
	request := entry.Request{Customer: 7, Model: "drafts", Class: "long", Deadline: now.Add(time.Hour)}
	for range 1000 {
		submit(qt.New(b), q, now.Add(time.Hour))
	}
	q.Tick(now)
	number, bytes := uint64(700000), 0
	b.ReportAllocs()
	for b.Loop() {
		id, _ := q.Submit(now, request)
		number++
		grant(q, now, id-500, number)
		q.Finish(now, id-500, entry.TokenCost(0, 180), fleetpb.Outcome_OUTCOME_DONE)
		envelopes, _ := q.Tick(now)
		for _, envelope := range envelopes {
			bytes += proto.Size(envelope.Body)
		}
	}
	b.ReportMetric(float64(bytes)/float64(number-700000), "B/request")
}
