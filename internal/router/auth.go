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

// customerContextKey is the key under which a context holds the config.ResolvedCustomer of the authenticated customer.
type customerContextKey struct{}

// operatorOperations lists the operations that require an operator's key.
var operatorOperations = []oas.OperationName{
	oas.GetConfigOperation, oas.GetConfigHistoryOperation, oas.GetCustomersOperation, oas.GetStatusOperation,
	oas.GetTargetsOperation, oas.PublishChangeOperation,
}

// HandleBearer authenticates a request by its bearer key; it implements oas.SecurityHandler. Operators' operations require
// the key of an operator. All others require the key of a customer, whose parameters the returned context holds.
func (r *Router) HandleBearer(ctx context.Context, operation oas.OperationName, bearer oas.Bearer) (context.Context, error) {
	hash := sha256.Sum256([]byte(bearer.Token))
	isOperator := slices.Contains(r.settings.OperatorHashes(), hex.EncodeToString(hash[:]))
	if slices.Contains(operatorOperations, operation) {
		if isOperator {
			return ctx, nil
		}
		return nil, r.refuseNonOperator(ctx, bearer.Token)
	}
	parameters, found, err := r.customerByKey(ctx, bearer.Token)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, refusal.New(refusal.Unauthenticated, "the key belongs to no customer")
	}
	return context.WithValue(ctx, customerContextKey{}, parameters), nil
}

// refuseNonOperator returns the refusal of an operators' operation: Forbidden for the key of a customer, otherwise
// Unauthenticated.
func (r *Router) refuseNonOperator(ctx context.Context, key string) error {
	_, found, err := r.customerByKey(ctx, key)
	if err != nil {
		return err
	}
	if found {
		return refusal.New(refusal.Forbidden, "a customer's key does not permit operators' calls")
	}
	return refusal.New(refusal.Unauthenticated, "the key belongs to no operator")
}

// customerByKey returns the parameters of the customer that a key belongs to, and whether there is one. It returns a refusal
// until the router has a configuration, since no key can be checked without one.
func (r *Router) customerByKey(ctx context.Context, key string) (config.ResolvedCustomer, bool, error) {
	var parameters config.ResolvedCustomer
	var found, ready bool
	err := r.runInLoop(ctx, func(time.Time) {
		ready = r.node.Store().Ready()
		parameters, found = r.node.Store().State().CustomerByKey(key)
	})
	if err != nil {
		return config.ResolvedCustomer{}, false, refusal.New(refusal.ShuttingDown, err.Error())
	}
	if !ready {
		refusalErr := refusal.New(refusal.Isolated, "the router has no configuration yet")
		return config.ResolvedCustomer{}, false, refusalErr.WithExecutionUnknown().WithRetryAt(time.Now().Add(time.Second))
	}
	return parameters, found, nil
}

// customerFromContext returns the parameters of the customer that HandleBearer has authenticated, or the zero value.
func customerFromContext(ctx context.Context) config.ResolvedCustomer {
	parameters, _ := ctx.Value(customerContextKey{}).(config.ResolvedCustomer)
	return parameters
}
