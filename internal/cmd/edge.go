package cmd

import (
	"context"
	"errors"
)

// addEdge adds the command that runs a gateway on the platform.
func (a *app) addEdge() {
	command := a.kingpin.Command("edge", "Run a gateway on the platform until SIGTERM, then drain it.")
	path := command.Flag("settings", "Settings file of the platform.").Required().Envar("CHICORYDALE_SETTINGS").
		PlaceHolder("FILE").String()
	command.Action(a.run(func(ctx context.Context) error {
		if a.programs.RunGateway == nil {
			return errors.New("this program holds no gateway")
		}
		return a.programs.RunGateway(ctx, *path)
	}))
}
