package gateway_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/gateway"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

// TestExpiredRecordsAreNoOutage guards against using a target that has left because the store dropped its history at the same time: the
// failed read shows no outage in which the record of a target could have lapsed.
func TestExpiredRecordsAreNoOutage(t *testing.T) {
	for _, c := range []struct {
		name  string
		err   error
		names []string
	}{
		{"expired", &topiclog.ExpiredError{RequestedOffset: 3, OldestOffset: 9}, []string{"stays"}},
		{"outage", errors.New("no reply"), []string{"leaves", "stays"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			directory := gateway.NewTargetDirectory()
			stays, leaves := topiclog.Record{Key: "stays", Value: []byte("x")}, topiclog.Record{Key: "leaves", Value: []byte("x")}
			now := time.Now()
			directory.Reset(now, []topiclog.Record{stays, leaves})
			directory.Failed(now.Add(time.Second), c.err)
			directory.Reset(now.Add(2*time.Second), []topiclog.Record{stays})
			qt.Check(t, directory.Names(), qt.DeepEquals, c.names)
		})
	}
}
