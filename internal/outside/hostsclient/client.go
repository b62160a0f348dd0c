package hostsclient

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/outside/transport"
)

// listBytes bounds the list: 6,000 hosts of some 250 bytes take 1.5 MB.
const listBytes = 16 << 20

// Client implements outside.HostLister.
type Client struct {
	address   string
	transport *transport.Client
	// last is the newest list, which an answer without hosts stands for.
	last atomic.Pointer[outside.HostList]
}

var _ outside.HostLister = (*Client)(nil)

// New returns a client of the host list at address (IP address and port).
func New(address string, transport *transport.Client) *Client {
	return &Client{address: address, transport: transport}
}

// List returns the newest list that the platform shows, sorted by name. An unchanged list is not sent again.
func (c *Client) List(ctx context.Context) (outside.HostList, error) {
	request := transport.Request{System: "host list", Address: c.address, Method: http.MethodGet, Path: "/hosts"}
	last := c.last.Load()
	if last != nil {
		request.Path += "?since=" + strconv.FormatUint(last.Version, 10)
	}
	var list outside.HostList
	if err := c.transport.DoReadOnlyJSON(ctx, request, listBytes, &list); err != nil {
		return outside.HostList{}, err
	}
	if last != nil && list.Hosts == nil && list.Version == last.Version {
		return *last, nil
	}
	slices.SortFunc(list.Hosts, func(a, b outside.Host) int { return cmp.Compare(a.Name, b.Name) })
	c.last.Store(&list)
	return list, nil
}
