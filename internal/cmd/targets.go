package cmd

import (
	"strconv"

	"github.com/chicorydale/chicorydale/internal/oas"
)

// addTargets adds the command that prints the targets.
func (a *app) addTargets() {
	command := a.kingpin.Command("targets", "Print the targets as the router knows them.")
	const heading = "name role model zone slots running state"
	query(a, command, (*oas.Client).GetTargets, heading, func(targets []oas.TargetStatus) [][]string {
		rows := make([][]string, 0, len(targets))
		for _, t := range targets {
			state := "live"
			if t.Leaving {
				state = "leaving"
			}
			rows = append(rows, []string{
				t.Name, t.Role, t.Model, t.Zone, strconv.Itoa(t.Slots), strconv.Itoa(t.Running), state,
			})
		}
		return rows
	})
}
