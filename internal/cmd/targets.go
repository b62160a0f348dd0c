package cmd

import (
	"context"
	"strconv"

	"github.com/chicorydale/chicorydale/internal/oas"
)

// addTargets adds the command that prints the targets.
func (a *app) addTargets() {
	command := a.kingpin.Command("targets", "Print the targets as the router knows them.")
	a.withJSON(command)
	command.Action(a.run(func(ctx context.Context) error {
		targets, err := ask(ctx, a, func(ctx context.Context, router *oas.Client) ([]oas.TargetStatus, error) {
			return router.GetTargets(ctx)
		})
		if err != nil {
			return err
		}
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
		return a.print(targets, "name role model zone slots running state", rows)
	}))
}
