package gateway_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/gateway"
)

// TestEventBoundary guards against a stream that was broken off inside an event and is taken as complete, and the reverse.
func TestEventBoundary(t *testing.T) {
	for stream, inside := range map[string]bool{
		"":                           false,
		"id: 1\ndata: a\n\n":         false,
		"id: 1\ndata: a\n\n\n":       false,
		"id: 1\r\ndata: a\r\n\r\n":   false,
		"id: 1\rdata: a\r\r":         false,
		"id: 1\ndata: a\n\n: ping\n": false,
		"id: 1\ndata: a\n\n:\n\n":    false,
		"id: 1\ndata: a\n":           true,
		"id: 1\ndata: a":             true,
		"id: 1\r\ndata: a\r\n":       true,
		"id: 1\n: ping\n":            true,
		"id: 1\ndata: a\n\ni":        true,
		"id: 1\ndata: a\n\n: pi":     true,
		"data: a:b\n":                true,
	} {
		for chunkSize := 1; chunkSize <= max(len(stream), 1); chunkSize++ {
			got := gateway.EndsInsideEvent(stream, chunkSize)
			qt.Check(t, got, qt.Equals, inside, qt.Commentf("%q in chunks of %d bytes", stream, chunkSize))
		}
	}
}
