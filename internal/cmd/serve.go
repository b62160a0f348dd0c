package cmd

import (
	"context"
	"errors"

	"github.com/chicorydale/chicorydale/internal/settings"
)

// addServeCommand adds the command serve, which runs a router.
func (a *app) addServeCommand() {
	command := a.kingpin.Command("serve", "Run a router; drain it on SIGTERM.")
	path := command.Flag("settings", "Settings file.").Required().PlaceHolder("FILE").String()
	command.Action(a.action(func(ctx context.Context) error {
		loaded, err := settings.Load(*path)
		if err != nil {
			return withFileName(*path, err)
		}
		if a.programs.RunRouter == nil {
			return errors.New("this build does not include a router")
		}
		return a.programs.RunRouter(ctx, loaded)
	}))
}
