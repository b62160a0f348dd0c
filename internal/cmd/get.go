package cmd

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/oas"
)

// addGet adds the command that prints the configuration.
func (a *app) addGet(config *kingpin.CmdClause) {
	command := config.Command("get", "Print the configuration in force.")
	a.withJSON(command)
	command.Action(a.run(func(ctx context.Context) error {
		read, err := ask(ctx, a, func(ctx context.Context, router *oas.Client) (*oas.Configuration, error) {
			return router.GetConfig(ctx)
		})
		if err != nil {
			return err
		}
		rows := [][]string{{"version", strconv.FormatInt(read.Version, 10), "-"}}
		for _, template := range read.Templates {
			classes := strings.Join(slices.Sorted(maps.Keys(template.Classes)), ",")
			rows = append(rows, []string{
				"template", template.Name, fmt.Sprintf("weight %d, classes %s", template.Weight, optional(classes)),
			})
		}
		for _, customer := range read.Customers {
			rows = append(rows, []string{
				"customer", customer.Name,
				fmt.Sprintf("number %d, template %s, keys %d", customer.Number.Or(0), customer.Template, len(customer.KeyHashes)),
			})
		}
		for _, service := range read.Services {
			operations := strings.Join(slices.Sorted(maps.Keys(service.Operations)), ",")
			rows = append(rows, []string{"service", service.Name, "operations " + optional(operations)})
		}
		return a.print(read, "kind name content", rows)
	}))
}
