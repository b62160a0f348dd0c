package cmd

import (
	"context"
	"os"

	"github.com/chicorydale/chicorydale/internal/report"
)

// addReport adds the command that sums up logs of gateways.
func (a *app) addReport() {
	command := a.kingpin.Command("report", "Sum up the requests in the log of gateways: outcomes, waits, and how far expected times were off.")
	paths := command.Arg("file", "Logs to read.").Required().Strings()
	key := command.Flag("by", "What the rows have in common.").Default(string(report.ByRoute)).
		Enum(string(report.ByRoute), string(report.ByCustomer))
	command.Action(a.run(func(context.Context) error {
		sum := report.New(report.GroupBy(*key))
		for _, path := range *paths {
			if err := readLog(sum, path); err != nil {
				return err
			}
		}
		return sum.WriteText(a.out)
	}))
}

// readLog adds a log to a report.
func readLog(sum *report.Report, path string) error {
	file, err := os.Open(path) //nolint:gosec // The operator names the file on the command line.
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // It was only read.
	return sum.AddLog(file)
}
