package requestqueue_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/requestqueue"
)

// BenchmarkRequest measures one request at the entry router from submission to end, and the bytes of its messages, while 1,000
// other requests wait.
func BenchmarkRequest(b *testing.B) {
	q := newQueue(requestqueue.Limits{})
	request := requestqueue.Request{Customer: 7, Model: "drafts", Class: "long", Deadline: now.Add(time.Hour)}
	for range 1000 {
		mustSubmit(qt.New(b), q, now.Add(time.Hour))
	}
	q.Tick(now)
	number, bytes := uint64(700000), 0
	b.ReportAllocs()
	for b.Loop() {
		id, _ := q.Submit(now, request)
		number++
		sendGrant(q, now, id-500, number)
		q.Finish(now, id-500, requestqueue.TokenCost(0, 180), fleetpb.Outcome_OUTCOME_DONE)
		envelopes, _ := q.Tick(now)
		for _, envelope := range envelopes {
			bytes += proto.Size(envelope.Body)
		}
	}
	b.ReportMetric(float64(bytes)/float64(number-700000), "B/request")
}
