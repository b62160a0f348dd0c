package transport

import (
	"context"
	"net/http"

	"github.com/chicorydale/chicorydale/internal/external"
)

// maxLoadReportBytes limits the size of a load report.
const maxLoadReportBytes = 64 << 10

// LoadReport returns the latest load report of the target at address (IP address and port). Errors refer to the target by
// the given name. If no report is received, the error is an *external.UnavailableError or *external.RejectedError.
func (c *Client) LoadReport(ctx context.Context, target, address string) (external.LoadReport, error) {
	request := Request{System: target, Address: address, Method: http.MethodGet, Path: "/load"}
	var report external.LoadReport
	if err := c.DoReadOnlyJSON(ctx, request, maxLoadReportBytes, &report); err != nil {
		return external.LoadReport{}, err
	}
	return report, nil
}
