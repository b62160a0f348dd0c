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

// addGet adds the command that prints the configuration.
func (a *app) addGet(config *kingpin.CmdClause) {
	command := config.Command("get", "Print the configuration in force.")
	query(a, command, (*oas.Client).GetConfig, "kind name content", func(read *oas.Configuration) [][]string {
		rows := make([][]string, 0, 1+len(read.Templates)+len(read.Customers)+len(read.Services))
		rows = append(rows, []string{"version", strconv.FormatInt(read.Version, 10), "-"})
		for _, template := range read.Templates {
			content := fmt.Sprintf("weight %d, classes %s", template.Weight, names(template.Classes))
			rows = append(rows, []string{"template", template.Name, content})
		}
		for _, customer := range read.Customers {
			content := fmt.Sprintf("number %d, template %s, keys %d",
				customer.Number.Or(0), customer.Template, len(customer.KeyHashes))
			rows = append(rows, []string{"customer", customer.Name, content})
		}
		for _, service := range read.Services {
			rows = append(rows, []string{"service", service.Name, "operations " + names(service.Operations)})
		}
		return rows
	})
}

// names returns the sorted keys of a map in one text.
func names[V any](of map[string]V) string {
	return optional(strings.Join(slices.Sorted(maps.Keys(of)), ","))
}
