package cmd

import (
	"context"
	"errors"
)

// addEdgeCommand adds the command edge, which runs a gateway.
func (a *app) addEdgeCommand() {
	command := a.kingpin.Command("edge", "Run a gateway on the platform; drain it on SIGTERM.")
	path := command.Flag("settings", "Settings file of the platform.").Required().Envar("CHICORYDALE_SETTINGS").
		PlaceHolder("FILE").String()
	command.Action(a.action(func(ctx context.Context) error {
		if a.programs.RunGateway == nil {
			return errors.New("this build does not include a gateway")
		}
		return a.programs.RunGateway(ctx, *path)
	}))
}
