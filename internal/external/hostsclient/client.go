package hostsclient

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/external/transport"
)

// maxListBytes limits the size of the list: 6,000 hosts of about 250 bytes take 1.5 MB.
const maxListBytes = 16 << 20

// Client implements external.HostLister. It is safe for concurrent use.
type Client struct {
	address   string
	transport *transport.Client
	// lastList is the last list received. It is returned if a response without hosts has the same version.
	lastList atomic.Pointer[external.HostList]
}

var _ external.HostLister = (*Client)(nil)

// New returns a client of the host list at address (IP address and port). The caller remains the owner of transport.
func New(address string, transport *transport.Client) *Client {
	return &Client{address: address, transport: transport}
}

// List returns the latest list that the platform publishes, sorted by name. The request gives the version of the last list,
// so that the platform does not send an unchanged list again. The caller must not change the hosts, which later calls may
// return again.
func (c *Client) List(ctx context.Context) (external.HostList, error) {
	request := transport.Request{System: "host list", Address: c.address, Method: http.MethodGet, Path: "/hosts"}
	last := c.lastList.Load()
	if last != nil {
		request.Path += "?since=" + strconv.FormatUint(last.Version, 10)
	}
	var list external.HostList
	if err := c.transport.DoReadOnlyJSON(ctx, request, maxListBytes, &list); err != nil {
		return external.HostList{}, err
	}
	if last != nil && list.Hosts == nil && list.Version == last.Version {
		return *last, nil
	}
	slices.SortFunc(list.Hosts, func(a, b external.Host) int { return cmp.Compare(a.Name, b.Name) })
	c.lastList.Store(&list)
	return list, nil
}
