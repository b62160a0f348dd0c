package router

import (
	"github.com/chicorydale/chicorydale/internal/oas"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// encodeRefusal returns the HTTP form of a refusal.
func encodeRefusal(refused *refusal.Error) *oas.RefusalStatusCode {
	response := oas.Refusal{
		Code:    string(refused.Code),
		Message: refused.Message,
		Ran:     oas.RefusalRan(refused.Execution),
	}
	if !refused.RetryAt.IsZero() {
		response.RetryAt = oas.NewOptDateTime(refused.RetryAt.UTC())
	}
	if refused.ConfigVersion != 0 {
		response.Version = oas.NewOptInt64(int64(refused.ConfigVersion))
	}
	return &oas.RefusalStatusCode{StatusCode: refused.Code.Status(), Response: response}
}
