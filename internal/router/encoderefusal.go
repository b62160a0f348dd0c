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
		Ran:     oas.RefusalRan(refusalErr.Execution),
	}
	if !refusalErr.RetryAt.IsZero() {
		response.RetryAt = oas.NewOptDateTime(refusalErr.RetryAt.UTC())
	}
	if refusalErr.ConfigVersion != 0 {
		response.Version = oas.NewOptInt64(int64(refusalErr.ConfigVersion))
	}
	return &oas.RefusalStatusCode{StatusCode: refusalErr.Code.Status(), Response: response}
}
