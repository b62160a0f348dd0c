package transport

import (
	"context"
	"net/http"

	"github.com/chicorydale/chicorydale/internal/outside"
)

// maxLoadReportBytes limits the size of a load report.
const maxLoadReportBytes = 64 << 10

// LoadReport returns the latest load report of the target at address (IP address and port). Errors refer to the target by
// the given name. If no report is received, the error is an *outside.UnavailableError or *outside.RejectedError.
func (c *Client) LoadReport(ctx context.Context, target, address string) (outside.LoadReport, error) {
	request := Request{System: target, Address: address, Method: http.MethodGet, Path: "/load"}
	var report outside.LoadReport
	if err := c.DoReadOnlyJSON(ctx, request, maxLoadReportBytes, &report); err != nil {
		return outside.LoadReport{}, err
	}
	return report, nil
}
