package cmd

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/alecthomas/kingpin/v2"

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
func ask[T any](ctx context.Context, a *app, request func(*oas.Client, context.Context) (T, error)) (T, error) {
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
		answer, err = request(router, ctx)
		if !unreachable(err) {
			return answer, err
		}
	}
	return answer, err
}

// query makes a command one that reads something from a router and prints it.
func query[T any](
	a *app, command *kingpin.CmdClause, read func(*oas.Client, context.Context) (T, error),
	heading string, rows func(T) [][]string,
) {
	a.withJSON(command)
	command.Action(a.run(func(ctx context.Context) error {
		answer, err := ask(ctx, a, read)
		if err != nil {
			return err
		}
		return a.print(answer, heading, rows(answer))
	}))
}
