package cmd

import (
	"strconv"

	"github.com/chicorydale/chicorydale/internal/oas"
)

// addTargetsCommand adds the command targets.
func (a *app) addTargetsCommand() {
	command := a.kingpin.Command("targets", "Print the targets that the router knows.")
	const heading = "name role model zone slots running state"
	addQueryAction(a, command, (*oas.Client).GetTargets, heading, func(targets []oas.TargetStatus) [][]string {
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
