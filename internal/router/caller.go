package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/oas"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// customerKey is the context key of the customer's parameters.
type customerKey struct{}

// operatorOperations are the operations that need an operator's key.
var operatorOperations = []oas.OperationName{
	oas.GetConfigOperation, oas.GetConfigHistoryOperation, oas.GetCustomersOperation, oas.GetStatusOperation,
	oas.GetTargetsOperation, oas.PublishChangeOperation,
}

// HandleBearer checks the key of a caller or an operator; it implements oas.SecurityHandler.
func (r *Router) HandleBearer(ctx context.Context, operation oas.OperationName, bearer oas.Bearer) (context.Context, error) {
	sum := sha256.Sum256([]byte(bearer.Token))
	isOperator := slices.Contains(r.settings.OperatorHashes(), hex.EncodeToString(sum[:]))
	if slices.Contains(operatorOperations, operation) {
		if isOperator {
			return ctx, nil
		}
		return nil, r.notOperator(ctx, bearer.Token)
	}
	parameters, found, err := r.owner(ctx, bearer.Token)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, refusal.New(refusal.Unauthenticated, "the key belongs to no customer")
	}
	return context.WithValue(ctx, customerKey{}, parameters), nil
}

// notOperator returns the refusal of a key that is no operator's.
func (r *Router) notOperator(ctx context.Context, key string) error {
	_, found, err := r.owner(ctx, key)
	if err != nil {
		return err
	}
	if found {
		return refusal.New(refusal.Forbidden, "a customer's key does not permit operators' calls")
	}
	return refusal.New(refusal.Unauthenticated, "the key belongs to no operator")
}

// owner returns the customer of a key. Without a configuration no key can be checked.
func (r *Router) owner(ctx context.Context, key string) (config.ResolvedCustomer, bool, error) {
	var parameters config.ResolvedCustomer
	var found, ready bool
	err := r.do(ctx, func(time.Time) {
		ready = r.node.Store().Ready()
		parameters, found = r.node.Store().State().CustomerByKey(key)
	})
	if err != nil {
		return config.ResolvedCustomer{}, false, refusal.New(refusal.ShuttingDown, err.Error())
	}
	if !ready {
		refused := refusal.New(refusal.Isolated, "the router has no configuration yet")
		return config.ResolvedCustomer{}, false, refused.WithExecutionUnknown().WithRetryAt(time.Now().Add(time.Second))
	}
	return parameters, found, nil
}

// customer returns the parameters of the customer that HandleBearer found.
func customer(ctx context.Context) config.ResolvedCustomer {
	parameters, _ := ctx.Value(customerKey{}).(config.ResolvedCustomer)
	return parameters
}
