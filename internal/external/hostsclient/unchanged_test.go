package hostsclient_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/hostserver"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/external/hostsclient"
	"github.com/chicorydale/chicorydale/internal/external/transport"
)

// TestUnchangedList guards against a list that is sent again with each read although nothing changed, and against a client
// that treats the short response to an unchanged list as an empty list.
func TestUnchangedList(t *testing.T) {
	server := hostserver.New(hostserver.WithLag(0))
	server.Put(external.Host{Name: "a", Role: external.RoleRouter})
	var sinceValues []string
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sinceValues = append(sinceValues, r.FormValue("since"))
		server.ServeHTTP(w, r)
	}))
	defer proxy.Close()
	client := hostsclient.New(strings.TrimPrefix(proxy.URL, "http://"), transport.New())
	first, err := client.List(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first.Hosts, qt.HasLen, 1)
	again, err := client.List(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again, qt.DeepEquals, first)
	server.Put(external.Host{Name: "b", Role: external.RoleRouter})
	changed, err := client.List(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, changed.Hosts, qt.HasLen, 2)
	qt.Assert(t, sinceValues[0], qt.Equals, "")
	qt.Assert(t, sinceValues[1], qt.Not(qt.Equals), "")
}
