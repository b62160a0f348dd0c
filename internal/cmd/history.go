package cmd

import (
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/oas"
)

// addHistoryCommand adds the command config history.
func (a *app) addHistoryCommand(config *kingpin.CmdClause) {
	command := config.Command("history", "Print the latest configuration changes, oldest first.")
	const heading = "offset change author base version result reason"
	addQueryAction(a, command, (*oas.Client).GetConfigHistory, heading, func(entries []oas.HistoryEntry) [][]string {
		rows := make([][]string, 0, len(entries))
		for _, entry := range entries {
			result := "accepted"
			if !entry.Accepted {
				result = "rejected"
			}
			rows = append(rows, []string{
				strconv.FormatInt(entry.Offset, 10), entry.ID, orDash(entry.Author.Or("")),
				strconv.FormatInt(entry.Base, 10), strconv.FormatInt(entry.Version, 10), result,
				orDash(entry.Reason.Or("")),
			})
		}
		return rows
	})
}
