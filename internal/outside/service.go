package outside

import "context"

// InvokeRequest is one call of a plain service.
type InvokeRequest struct {
	// Operation names what to do.
	Operation string `json:"operation"`
	// Arguments are the operation's arguments.
	Arguments map[string]string `json:"arguments"`
	// IdempotencyKey is the caller's idempotency key, empty for idempotent operations. Services need not check it.
	IdempotencyKey string `json:"key,omitempty"`
	// FencingToken is the log offset of the claim plus one, zero if there is none; some services refuse an old one.
	FencingToken uint64 `json:"fence,omitempty"`
}

// Service is one replica of a plain service.
type Service interface {
	// Invoke runs an operation. A *UnavailableError or *RejectedError means that it did not run; a *CrashedError
	// means that nobody can know.
	Invoke(ctx context.Context, call InvokeRequest) (map[string]string, error)
	// LoadReport returns the replica's newest load report.
	LoadReport(ctx context.Context) (LoadReport, error)
}
