package router_test

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/outside"
)

// journal keeps the log lines of all routers of a fleet.
type journal struct {
	mu    sync.Mutex
	lines [][]byte
}

// Write adds a line.
func (j *journal) Write(line []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, bytes.Clone(line))
	return len(line), nil
}

// has tells whether a router logged an event; field is the value of the event's first field, or empty for any.
func (j *journal) has(at string, wanted event.Event, field string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, line := range j.lines {
		var fields map[string]any
		if json.Unmarshal(line, &fields) != nil || fields["at"] != at || fields["event"] != float64(wanted.Number()) {
			continue
		}
		if field == "" || fields[wanted.Fields()[0]] == field {
			return true
		}
	}
	return false
}

// TestViewEvents guards against a failure of a host that an operator cannot see in the log.
func TestViewEvents(t *testing.T) {
	f := newPair(t)
	closed := httptest.NewServer(nil)
	closed.Close()
	f.hosts.Put(outside.Host{
		Name: "r3", Role: outside.RoleRouter, Region: "r", Zone: "a", LinkAddress: closed.Listener.Addr().String(),
	})
	logged := func(wanted event.Event, field string) {
		t.Helper()
		f.eventually(wanted.Name()+" "+field, func() bool { return f.events.has("r1", wanted, field) })
	}
	logged(event.TargetAdded, "e2")
	logged(event.RoleGained, "pool a/m/0")
	f.hosts.Leave("e2")
	logged(event.TargetLeaving, "e2")
	f.hosts.Remove("e1")
	logged(event.TargetGone, "e1")
	logged(event.RoleLost, "pool a/m/0")
	logged(event.PeerDown, "r3")
	f.hosts.Leave("r2")
	logged(event.PeerLeaving, "r2")
	qt.Check(t, f.events.has("r2", event.PeerLeaving, "r2"), qt.IsFalse)
}
