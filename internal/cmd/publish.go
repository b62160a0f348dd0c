package cmd

import (
	"context"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/oas"
)

// addPublishCommand adds the command config publish. The change is checked locally before it is sent.
func (a *app) addPublishCommand(config *kingpin.CmdClause) {
	command := config.Command("publish", "Check a change file and publish it.")
	path := command.Arg("file", "Change file.").Required().String()
	a.addJSONFlag(command)
	command.Action(a.action(func(ctx context.Context) error {
		data, err := readFile(*path)
		if err != nil {
			return err
		}
		change, err := parseChange(data)
		if err != nil {
			return withFileName(*path, err)
		}
		result, err := sendRequest(ctx, a, func(router *oas.Client, ctx context.Context) (*oas.ChangeResult, error) {
			return router.PublishChange(ctx, change)
		})
		if err != nil {
			return err
		}
		return a.printResult(result, "version repeated",
			[][]string{{strconv.FormatInt(result.Version, 10), strconv.FormatBool(result.Repeated)}})
	}))
}
