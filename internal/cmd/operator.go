package cmd

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/oas"
)

// credentials is the API key that the generated client sends as a bearer token.
type credentials string

// Bearer returns the bearer token.
func (c credentials) Bearer(context.Context, oas.OperationName, *oas.Client) (oas.Bearer, error) {
	return oas.Bearer{Token: string(c)}, nil
}

// checkAddresses returns a *usageError if an address is not an IP address with port.
func (a *app) checkAddresses() error {
	for _, address := range a.addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return &usageError{problem: "the address " + address + " is not an IP address with port"}
		}
	}
	return nil
}

// sendRequest sends an operator's request to the addresses in turn, until a router can be reached. If none can, it returns
// the error of the last address.
func sendRequest[T any](ctx context.Context, a *app, request func(*oas.Client, context.Context) (T, error)) (T, error) {
	var response T
	err := a.checkAddresses()
	if err != nil {
		return response, err
	}
	for _, address := range a.addresses {
		var routerClient *oas.Client
		routerClient, err = oas.NewClient("http://"+address, credentials(a.apiKey),
			oas.WithClient(&http.Client{Timeout: a.requestTimeout}))
		if err != nil {
			return response, err
		}
		response, err = request(routerClient, ctx)
		if !isUnreachable(err) {
			return response, err
		}
	}
	return response, err
}

// addQueryAction sets the action of a command that reads from a router and prints the response, as JSON or as a table with
// the heading and the rows that toRows returns.
func addQueryAction[T any](
	a *app, command *kingpin.CmdClause, read func(*oas.Client, context.Context) (T, error),
	heading string, toRows func(T) [][]string,
) {
	a.addJSONFlag(command)
	command.Action(a.action(func(ctx context.Context) error {
		response, err := sendRequest(ctx, a, read)
		if err != nil {
			return err
		}
		return a.printResult(response, heading, toRows(response))
	}))
}
