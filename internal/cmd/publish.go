package cmd

import (
	"context"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/oas"
)

// addPublish adds the command that publishes a change.
func (a *app) addPublish(config *kingpin.CmdClause) {
	command := config.Command("publish", "Check a change file and publish it.")
	path := command.Arg("file", "Change file.").Required().String()
	a.withJSON(command)
	command.Action(a.run(func(ctx context.Context) error {
		data, err := readFile(*path)
		if err != nil {
			return err
		}
		change, err := parseChange(data)
		if err != nil {
			return inFile(*path, err)
		}
		result, err := ask(ctx, a, func(router *oas.Client, ctx context.Context) (*oas.ChangeResult, error) {
			return router.PublishChange(ctx, change)
		})
		if err != nil {
			return err
		}
		return a.print(result, "version repeated",
			[][]string{{strconv.FormatInt(result.Version, 10), strconv.FormatBool(result.Repeated)}})
	}))
}
