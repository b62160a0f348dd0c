package gateway_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/gateway"
)

// TestEventSplitter guards against relaying an incomplete event, and against losing or duplicating an event whose bytes
// arrive in several chunks.
func TestEventSplitter(t *testing.T) {
	stream := "id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 3\r\ndata: c\r\n\r\nid: 4\ndata: to"
	want := "id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 3\r\ndata: c\r\n\r\n"
	for chunkSize := 1; chunkSize <= len(stream); chunkSize++ {
		events, lastID := gateway.SplitEvents(stream, chunkSize)
		qt.Check(t, events, qt.Equals, want, qt.Commentf("chunks of %d bytes", chunkSize))
		qt.Check(t, lastID, qt.Equals, "3")
	}
}

// TestEventSplitterResume guards against duplicate events when a target restarts a stream that it should continue, and
// against relaying the incomplete last event of the previous target.
func TestEventSplitterResume(t *testing.T) {
	for _, c := range []struct {
		first, second, want string
		fails               bool
	}{
		{"id: 1\n\nid: 2\n\nid: 3\nda", "id: 3\ndata: c\n\n", "id: 1\n\nid: 2\n\nid: 3\ndata: c\n\n", false},
		{"id: 6\n\nid: 12\n\n", "id: 18\n\n", "id: 6\n\nid: 12\n\nid: 18\n\n", false},
		{"id: 1\n\nid: 2\n\n", "id: 1\n\nid: 2\n\n", "id: 1\n\nid: 2\n\n", true},
		{"id: 1\n\nid: 2\n\n", "id: 2\n\n", "id: 1\n\nid: 2\n\n", true},
		{"id: a\n\nid: b\n\n", "id: b\n\n", "id: a\n\nid: b\n\n", true},
		{"id: a\n\nid: b\n\n", "id: c\n\n", "id: a\n\nid: b\n\nid: c\n\n", false},
		{"id: 1", "id: 1\n\n", "id: 1\n\n", false},
	} {
		got, err := gateway.ResumeStream(c.first, c.second)
		qt.Check(t, got, qt.Equals, c.want)
		qt.Check(t, err != nil, qt.Equals, c.fails, qt.Commentf("%q", c.second))
	}
}
