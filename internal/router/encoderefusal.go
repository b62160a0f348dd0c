package router

import (
	"github.com/chicorydale/chicorydale/internal/oas"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// encodeRefusal returns the HTTP response for a refusal.
func encodeRefusal(refusalErr *refusal.Error) *oas.RefusalStatusCode {
	response := oas.Refusal{
		Code:    string(refusalErr.Code),
		Message: refusalErr.Message,
		Ran:     oas.RefusalRan(refusalErr.Ran),
	}
	if !refusalErr.RetryAt.IsZero() {
		response.RetryAt = oas.NewOptDateTime(refusalErr.RetryAt.UTC())
	}
	if refusalErr.Version != 0 {
		response.Version = oas.NewOptInt64(int64(refusalErr.Version))
	}
	return &oas.RefusalStatusCode{StatusCode: refusalErr.Code.Status(), Response: response}
}
