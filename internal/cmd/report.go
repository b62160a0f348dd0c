package cmd

import (
	"context"
	"os"

	"github.com/chicorydale/chicorydale/internal/report"
)

// addReportCommand adds the command report.
func (a *app) addReportCommand() {
	command := a.kingpin.Command("report",
		"Summarize the requests in gateway logs: outcomes, queue times, and actual minus expected target latency.")
	paths := command.Arg("file", "Log files.").Required().Strings()
	groupBy := command.Flag("by", "Field by which the rows are grouped.").Default(string(report.ByRoute)).
		Enum(string(report.ByRoute), string(report.ByCustomer))
	command.Action(a.action(func(context.Context) error {
		summary := report.New(report.GroupBy(*groupBy))
		for _, path := range *paths {
			if err := addLogFile(summary, path); err != nil {
				return err
			}
		}
		return summary.WriteText(a.out)
	}))
}

// addLogFile adds the log at a path to a report.
func addLogFile(summary *report.Report, path string) error {
	file, err := os.Open(path) //nolint:gosec // The operator names the file on the command line.
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // The file was opened for reading only, so that closing it loses no data.
	return summary.AddLog(file)
}
