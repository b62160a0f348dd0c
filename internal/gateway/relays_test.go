package gateway_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/gateway"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

// TestLostRelayIsReplaced guards against a region that hears nothing of another one because a relay there cannot be reached, and against a
// relay that is never tried again.
func TestLostRelayIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links := gateway.NewPeerLinks("self", nil)
		records := make([]topiclog.Record, 0, 195)
		for i := range cap(records) {
			value := fmt.Appendf(nil, `{"zone":"z%d","region":"r%d"}`, i%6, i%3)
			records = append(records, topiclog.Record{Key: fmt.Sprint("host-", i), Value: value})
		}
		links.Apply(time.Now(), append(records, topiclog.Record{Key: "self", Value: []byte("{}")}))
		all := links.Links()
		qt.Assert(t, len(all) >= 3, qt.IsTrue)
		qt.Assert(t, len(all) <= 24, qt.IsTrue)
		lost := slices.Min(all)
		links.FailLink(lost)
		replaced := links.Links()
		qt.Check(t, slices.Contains(replaced, lost), qt.IsFalse)
		qt.Check(t, slices.ContainsFunc(replaced, func(name string) bool { return !slices.Contains(all, name) }), qt.IsTrue)
		links.RetryRelays(time.Now().Add(5 * time.Second))
		qt.Check(t, slices.Contains(links.Links(), lost), qt.IsFalse)
		links.RetryRelays(time.Now().Add(11 * time.Second))
		qt.Check(t, slices.Contains(links.Links(), lost), qt.IsTrue)
	})
}
