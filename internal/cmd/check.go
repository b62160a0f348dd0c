package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/fault"
	"github.com/chicorydale/chicorydale/internal/settings"
)

// addCheck adds the command that checks a file without a router.
func (a *app) addCheck(config *kingpin.CmdClause) {
	command := config.Command("check", "Check a settings file or a change file without a router.")
	path := command.Arg("file", "Settings file or change file.").Required().String()
	command.Action(a.run(func(context.Context) error {
		data, err := readFile(*path)
		if err != nil {
			return err
		}
		kind := "settings"
		if isChange(data) {
			kind = "a change"
			_, err = parseChange(data)
		} else {
			_, err = settings.Parse(data)
		}
		if err != nil {
			return inFile(*path, err)
		}
		_, err = fmt.Fprintf(a.out, "%s: %s without fault\n", *path, kind)
		return err
	}))
}

// isChange reports whether a file is meant as a change: it has a field of changes. All others are settings.
func isChange(data []byte) bool {
	members, _ := fault.SplitObject(data)
	return slices.ContainsFunc(members, func(member fault.Member) bool {
		return slices.Contains(changeFields, member.Name)
	})
}

// readFile reads a file that the operator names.
func readFile(path string) ([]byte, error) {
	return os.ReadFile(path) //nolint:gosec // The operator names the file on the command line.
}

// fileError holds the faults of a file with its name in each line.
type fileError struct {
	path   string
	faults *fault.Error
}

// Error returns one line for each fault.
func (e *fileError) Error() string {
	lines := make([]string, 0, len(e.faults.Faults))
	for _, f := range e.faults.Faults {
		lines = append(lines, e.path+": "+f.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults.
func (e *fileError) Unwrap() error { return e.faults }

// inFile puts the name of a file before each of its faults.
func inFile(path string, err error) error {
	var faults *fault.Error
	if errors.As(err, &faults) {
		return &fileError{path: path, faults: faults}
	}
	return err
}
