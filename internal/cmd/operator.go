package cmd

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/chicorydale/chicorydale/internal/oas"
)

// credentials hands the key to the generated client.
type credentials string

// Bearer returns the key.
func (c credentials) Bearer(context.Context, oas.OperationName, *oas.Client) (oas.Bearer, error) {
	return oas.Bearer{Token: string(c)}, nil
}

// checkAddresses refuses addresses that are not an IP address with port.
func (a *app) checkAddresses() error {
	for _, address := range a.addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return &usageError{problem: "the address " + address + " is not an IP address with port"}
		}
	}
	return nil
}

// ask sends an operator's request to the first router that can be reached.
func ask[T any](ctx context.Context, a *app, request func(context.Context, *oas.Client) (T, error)) (T, error) {
	var answer T
	err := a.checkAddresses()
	if err != nil {
		return answer, err
	}
	for _, address := range a.addresses {
		var router *oas.Client
		router, err = oas.NewClient("http://"+address, credentials(a.key), oas.WithClient(&http.Client{Timeout: a.timeout}))
		if err != nil {
			return answer, err
		}
		answer, err = request(ctx, router)
		if !unreachable(err) {
			return answer, err
		}
	}
	return answer, err
}
