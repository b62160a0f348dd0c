package cmd

import (
	"strconv"

	"github.com/chicorydale/chicorydale/internal/oas"
)

// addCustomers adds the command that prints the customers.
func (a *app) addCustomers() {
	command := a.kingpin.Command("customers", "Print the customers with their backlog at the router.")
	const heading = "number name template weight waiting running"
	query(a, command, (*oas.Client).GetCustomers, heading, func(customers []oas.CustomerStatus) [][]string {
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
