package cmd

import (
	"context"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/oas"
)

// addHistory adds the command that prints the latest changes.
func (a *app) addHistory(config *kingpin.CmdClause) {
	command := config.Command("history", "Print the latest changes, oldest first.")
	a.withJSON(command)
	command.Action(a.run(func(ctx context.Context) error {
		entries, err := ask(ctx, a, func(ctx context.Context, router *oas.Client) ([]oas.HistoryEntry, error) {
			return router.GetConfigHistory(ctx)
		})
		if err != nil {
			return err
		}
		rows := make([][]string, 0, len(entries))
		for _, entry := range entries {
			result := "accepted"
			if !entry.Accepted {
				result = "rejected"
			}
			rows = append(rows, []string{
				strconv.FormatInt(entry.Offset, 10), entry.ID, optional(entry.Author.Or("")),
				strconv.FormatInt(entry.Base, 10), strconv.FormatInt(entry.Version, 10), result,
				optional(entry.Reason.Or("")),
			})
		}
		return a.print(entries, "offset change author base version result reason", rows)
	}))
}
