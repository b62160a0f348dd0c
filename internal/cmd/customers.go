package cmd

import (
	"strconv"

	"github.com/chicorydale/chicorydale/internal/oas"
)

// addCustomersCommand adds the command customers.
func (a *app) addCustomersCommand() {
	command := a.kingpin.Command("customers", "Print the customers with their waiting and running requests at the router.")
	const heading = "number name template weight waiting running"
	addQueryAction(a, command, (*oas.Client).GetCustomers, heading, func(customers []oas.CustomerStatus) [][]string {
		rows := make([][]string, 0, len(customers))
		for _, c := range customers {
			rows = append(rows, []string{
				strconv.Itoa(int(c.Number)), c.Name, c.Template,
				strconv.Itoa(c.Weight), strconv.Itoa(c.Waiting), strconv.Itoa(c.Running),
			})
		}
		return rows
	})
}
