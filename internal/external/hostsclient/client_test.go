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
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/external/hostsclient"
	"github.com/chicorydale/chicorydale/internal/external/transport"
)

// TestList guards against a list that shows changes before its lag, that is not sorted, whose version does not increase with
// each change, or that misses a leaving flag or a removal.
func TestList(t *testing.T) {
	const lag = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var network pipenet.Network
		server := hostserver.New(hostserver.WithLag(lag))
		defer network.Serve("hosts:1", server)()
		httpClient := transport.New(transport.WithDial(network.DialContext))
		defer httpClient.Close()
		client, registrations := hostsclient.New("hosts:1", httpClient), registration.New("hosts:1", httpClient)
		list := func() external.HostList {
			list, err := client.List(c.Context())
			c.Assert(err, qt.IsNil)
			return list
		}
		a := external.Host{Name: "a", Role: external.RoleEngine, Region: "r", Zone: "z", Address: "e:1", Slots: 3}
		b := external.Host{Name: "b", Role: external.RoleRouter, Address: "r:1", LinkAddress: "r:2", Fenced: true}
		leavingA := a
		leavingA.Leaving = true
		version := list().Version
		for _, step := range []struct {
			change func() error
			before []external.Host
			after  []external.Host
		}{
			{func() error { return registrations.Put(c.Context(), b) }, []external.Host{}, []external.Host{b}},
			{func() error { return registrations.Put(c.Context(), a) }, []external.Host{b}, []external.Host{a, b}},
			{func() error { return registrations.Leave(c.Context(), "a") }, []external.Host{a, b}, []external.Host{leavingA, b}},
			{func() error { return registrations.Remove(c.Context(), "b") }, []external.Host{leavingA, b}, []external.Host{leavingA}},
		} {
			c.Assert(step.change(), qt.IsNil)
			time.Sleep(lag - time.Millisecond)
			c.Assert(list(), qt.DeepEquals, external.HostList{Version: version, Hosts: step.before})
			server.Faults.Set(fault.Fault{FreezeReports: true})
			time.Sleep(time.Minute)
			c.Assert(list(), qt.DeepEquals, external.HostList{Version: version, Hosts: step.before})
			server.Faults.Set(fault.Fault{})
			version++
			c.Assert(list(), qt.DeepEquals, external.HostList{Version: version, Hosts: step.after})
		}
		var rejected *external.RejectedError
		c.Assert(errors.As(registrations.Leave(c.Context(), "b"), &rejected), qt.IsTrue)
	})
}

// TestOutage guards against a lost response that looks like an empty list, and against an emulated host list that restarts
// with an older version.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var network pipenet.Network
		server := hostserver.New()
		stop := network.Serve("hosts:1", server)
		httpClient := transport.New(transport.WithDial(network.DialContext))
		defer httpClient.Close()
		client := hostsclient.New("hosts:1", httpClient)
		before, err := client.List(c.Context())
		c.Assert(err, qt.IsNil)
		var unavailable *external.UnavailableError
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

// TestSorted guards against a list that is returned in the order of the platform instead of by name.
func TestSorted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var network pipenet.Network
		defer network.Serve("hosts:1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"version":1,"hosts":[{"name":"b"},{"name":"a"}]}`)
		}))()
		httpClient := transport.New(transport.WithDial(network.DialContext))
		defer httpClient.Close()
		list, err := hostsclient.New("hosts:1", httpClient).List(c.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(list.Hosts, qt.DeepEquals, []external.Host{{Name: "a"}, {Name: "b"}})
	})
}
