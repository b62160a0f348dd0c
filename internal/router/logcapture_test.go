package router_test

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/external"
)

// logCapture stores the log lines of all routers of a fleet. It is safe for concurrent use.
type logCapture struct {
	mu    sync.Mutex
	lines [][]byte
}

// Write stores a copy of one line; it implements io.Writer.
func (c *logCapture) Write(line []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines = append(c.lines, bytes.Clone(line))
	return len(line), nil
}

// hasEvent reports whether a router has logged an event whose first field has the given value. An empty value matches any.
func (c *logCapture) hasEvent(routerName string, want event.Event, value string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, line := range c.lines {
		var fields map[string]any
		if json.Unmarshal(line, &fields) != nil || fields["at"] != routerName || fields["event"] != float64(want.Number()) {
			continue
		}
		if value == "" || fields[want.Fields()[0]] == value {
			return true
		}
	}
	return false
}

// TestFleetChangesAreLogged guards against a host that fails, leaves or is removed, or a pool whose scheduler changes,
// without an event in the log. A router must not log its own leaving as that of a peer.
func TestFleetChangesAreLogged(t *testing.T) {
	f := newFleetOfTwoRouters(t)
	closedServer := httptest.NewServer(nil)
	closedServer.Close()
	f.hosts.Put(external.Host{
		Name: "r3", Role: external.RoleRouter, Region: "r", Zone: "a", LinkAddress: closedServer.Listener.Addr().String(),
	})
	waitLogged := func(want event.Event, value string) {
		t.Helper()
		f.eventually(want.Name()+" "+value, func() bool { return f.logs.hasEvent("r1", want, value) })
	}
	waitLogged(event.TargetAdded, "e2")
	waitLogged(event.RoleGained, "pool a/m/0")
	f.hosts.Leave("e2")
	waitLogged(event.TargetLeaving, "e2")
	f.hosts.Remove("e1")
	waitLogged(event.TargetGone, "e1")
	waitLogged(event.RoleLost, "pool a/m/0")
	waitLogged(event.PeerDown, "r3")
	f.hosts.Leave("r2")
	waitLogged(event.PeerLeaving, "r2")
	qt.Check(t, f.logs.hasEvent("r2", event.PeerLeaving, "r2"), qt.IsFalse)
}
