package cmd

import (
	"context"
	"strconv"

	"github.com/chicorydale/chicorydale/internal/oas"
)

// addCustomers adds the command that prints the customers.
func (a *app) addCustomers() {
	command := a.kingpin.Command("customers", "Print the customers with their backlog at the router.")
	a.withJSON(command)
	command.Action(a.run(func(ctx context.Context) error {
		customers, err := ask(ctx, a, func(ctx context.Context, router *oas.Client) ([]oas.CustomerStatus, error) {
			return router.GetCustomers(ctx)
		})
		if err != nil {
			return err
		}
		rows := make([][]string, 0, len(customers))
		for _, c := range customers {
			rows = append(rows, []string{
				strconv.Itoa(int(c.Number)), c.Name, c.Template,
				strconv.Itoa(c.Weight), strconv.Itoa(c.Waiting), strconv.Itoa(c.Running),
			})
		}
		return a.print(customers, "number name template weight waiting running", rows)
	}))
}
