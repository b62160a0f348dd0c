package transport

import (
	"context"
	"net/http"

	"github.com/chicorydale/chicorydale/internal/outside"
)

// loadBytes bounds a load report.
const loadBytes = 64 << 10

// LoadReport returns the newest load report of the target with this name at address.
func (c *Client) LoadReport(ctx context.Context, target, address string) (outside.LoadReport, error) {
	request := Request{System: target, Address: address, Method: http.MethodGet, Path: "/load"}
	var load outside.LoadReport
	if err := c.DoReadOnlyJSON(ctx, request, loadBytes, &load); err != nil {
		return outside.LoadReport{}, err
	}
	return load, nil
}
