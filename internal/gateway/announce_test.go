package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/gateway"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

// countingTopic counts the records that are written to it.
type countingTopic struct {
	topiclog.Topic
	writes int
}

func (t *countingTopic) Put(context.Context, string, []byte) error {
	t.writes++
	return nil
}

// TestLostRouterRecordIsWrittenAgain guards against a router that its peers never link with again, because the store lost its record: it
// came back from an older copy, or executed the removal by an earlier start of the router late.
func TestLostRouterRecordIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		topic := &countingTopic{}
		links := gateway.NewPeerLinks("r1", topic)
		go links.Announce(ctx)
		synctest.Wait()
		qt.Check(t, topic.writes, qt.Equals, 1)
		links.Reset(time.Now(), nil)
		synctest.Wait()
		qt.Check(t, topic.writes, qt.Equals, 2)
		links.Apply(time.Now(), []topiclog.Record{{Key: "r1"}})
		synctest.Wait()
		qt.Check(t, topic.writes, qt.Equals, 3)
		links.Reset(time.Now(), []topiclog.Record{{Key: "r1", Value: []byte("{}")}})
		synctest.Wait()
		qt.Check(t, topic.writes, qt.Equals, 3)
		stop()
	})
}
