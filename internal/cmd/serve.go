package cmd

import (
	"context"
	"errors"

	"github.com/chicorydale/chicorydale/internal/settings"
)

// addServe adds the command that runs a router.
func (a *app) addServe() {
	command := a.kingpin.Command("serve", "Run a router until SIGTERM, then drain it.")
	path := command.Flag("settings", "Settings file.").Required().PlaceHolder("FILE").String()
	command.Action(a.run(func(ctx context.Context) error {
		read, err := settings.Load(*path)
		if err != nil {
			return inFile(*path, err)
		}
		if a.programs.RunRouter == nil {
			return errors.New("this program holds no router")
		}
		return a.programs.RunRouter(ctx, read)
	}))
}
