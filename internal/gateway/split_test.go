package gateway_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/gateway"
)

// TestSplit guards against a torn event that reaches the caller, and against an event that is lost or doubled because
// its bytes arrive in several pieces.
func TestSplit(t *testing.T) {
	stream := "id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 3\r\ndata: c\r\n\r\nid: 4\ndata: to"
	want := "id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 3\r\ndata: c\r\n\r\n"
	for size := 1; size <= len(stream); size++ {
		whole, last := gateway.Split(stream, size)
		qt.Check(t, whole, qt.Equals, want, qt.Commentf("pieces of %d bytes", size))
		qt.Check(t, last, qt.Equals, "3")
	}
}

// TestResumed guards against events that come twice because a target begins the stream anew that it was to go on with, and
// against the rest of an event of the target before.
func TestResumed(t *testing.T) {
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
		got, err := gateway.Resumed(c.first, c.second)
		qt.Check(t, got, qt.Equals, c.want)
		qt.Check(t, err != nil, qt.Equals, c.fails, qt.Commentf("%q", c.second))
	}
}
