package hostsclient_test

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/internal/emulator/hostserver"
	"github.com/chicorydale/chicorydale/internal/emulator/pipenet"
	"github.com/chicorydale/chicorydale/internal/emulator/registration"
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/outside/hostsclient"
	"github.com/chicorydale/chicorydale/internal/outside/transport"
)

// Guards against a list that shows changes before its lag, that is not sorted, whose version does not grow with each
// change, or that misses a leaving mark or a removal.
func TestList(t *testing.T) {
	const lag = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var network pipenet.Network
		server := hostserver.New(hostserver.WithLag(lag))
		defer network.Serve("hosts:1", server)()
		dialer := transport.New(transport.WithDial(network.DialContext))
		defer dialer.Close()
		client, entries := hostsclient.New("hosts:1", dialer), registration.New("hosts:1", dialer)
		list := func() outside.HostList {
			list, err := client.List(c.Context())
			c.Assert(err, qt.IsNil)
			return list
		}
		a := outside.Host{Name: "a", Role: outside.RoleEngine, Region: "r", Zone: "z", Address: "e:1", Slots: 3}
		b := outside.Host{Name: "b", Role: outside.RoleRouter, Address: "r:1", LinkAddress: "r:2", Fenced: true}
		gone := a
		gone.Leaving = true
		version := list().Version
		for _, step := range []struct {
			change func() error
			before []outside.Host
			after  []outside.Host
		}{
			{func() error { return entries.Put(c.Context(), b) }, []outside.Host{}, []outside.Host{b}},
			{func() error { return entries.Put(c.Context(), a) }, []outside.Host{b}, []outside.Host{a, b}},
			{func() error { return entries.Leave(c.Context(), "a") }, []outside.Host{a, b}, []outside.Host{gone, b}},
			{func() error { return entries.Remove(c.Context(), "b") }, []outside.Host{gone, b}, []outside.Host{gone}},
		} {
			c.Assert(step.change(), qt.IsNil)
			time.Sleep(lag - time.Millisecond)
			c.Assert(list(), qt.DeepEquals, outside.HostList{Version: version, Hosts: step.before})
			server.Faults.Set(fault.Fault{FreezeReports: true})
			time.Sleep(time.Minute)
			c.Assert(list(), qt.DeepEquals, outside.HostList{Version: version, Hosts: step.before})
			server.Faults.Set(fault.Fault{})
			version++
			c.Assert(list(), qt.DeepEquals, outside.HostList{Version: version, Hosts: step.after})
		}
		var rejected *outside.RejectedError
		c.Assert(errors.As(entries.Leave(c.Context(), "b"), &rejected), qt.IsTrue)
	})
}

// Guards against a lost answer of the host list that looks like an empty list, and against a host list that starts
// again with an older version.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var network pipenet.Network
		server := hostserver.New()
		stop := network.Serve("hosts:1", server)
		dialer := transport.New(transport.WithDial(network.DialContext))
		defer dialer.Close()
		client := hostsclient.New("hosts:1", dialer)
		before, err := client.List(c.Context())
		c.Assert(err, qt.IsNil)
		var unavailable *outside.UnavailableError
		server.Faults.Set(fault.Fault{DropConnections: true})
		_, err = client.List(c.Context())
		c.Assert(errors.As(err, &unavailable), qt.IsTrue)
		stop()
		_, err = client.List(c.Context())
		c.Assert(errors.As(err, &unavailable), qt.IsTrue)
		time.Sleep(time.Second)
		defer network.Serve("hosts:1", hostserver.New())()
		after, err := client.List(c.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(after.Version > before.Version, qt.IsTrue)
	})
}

// Guards against a consumer that meets a list in the order of the platform instead of by name.
func TestSorted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var network pipenet.Network
		defer network.Serve("hosts:1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"version":1,"hosts":[{"name":"b"},{"name":"a"}]}`)
		}))()
		dialer := transport.New(transport.WithDial(network.DialContext))
		defer dialer.Close()
		list, err := hostsclient.New("hosts:1", dialer).List(c.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(list.Hosts, qt.DeepEquals, []outside.Host{{Name: "a"}, {Name: "b"}})
	})
}
