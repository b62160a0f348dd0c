package cmd

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/oas"
)

// addGetCommand adds the command config get.
func (a *app) addGetCommand(config *kingpin.CmdClause) {
	command := config.Command("get", "Print the current configuration.")
	addQueryAction(a, command, (*oas.Client).GetConfig, "kind name content", func(current *oas.Configuration) [][]string {
		rows := make([][]string, 0, 1+len(current.Templates)+len(current.Customers)+len(current.Services))
		rows = append(rows, []string{"version", strconv.FormatInt(current.Version, 10), "-"})
		for _, template := range current.Templates {
			content := fmt.Sprintf("weight %d, classes %s", template.Weight, joinKeys(template.Classes))
			rows = append(rows, []string{"template", template.Name, content})
		}
		for _, customer := range current.Customers {
			content := fmt.Sprintf("number %d, template %s, keys %d",
				customer.Number.Or(0), customer.Template, len(customer.KeyHashes))
			rows = append(rows, []string{"customer", customer.Name, content})
		}
		for _, service := range current.Services {
			rows = append(rows, []string{"service", service.Name, "operations " + joinKeys(service.Operations)})
		}
		return rows
	})
}

// joinKeys returns the sorted keys of a map separated by commas, or a dash if there are none.
func joinKeys[V any](m map[string]V) string {
	return orDash(strings.Join(slices.Sorted(maps.Keys(m)), ","))
}
