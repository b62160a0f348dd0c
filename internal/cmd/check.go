package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/settings"
	"github.com/chicorydale/chicorydale/internal/validation"
)

// addCheckCommand adds the command config check.
func (a *app) addCheckCommand(config *kingpin.CmdClause) {
	command := config.Command("check", "Check a settings file or a change file without a router.")
	path := command.Arg("file", "Settings file or change file.").Required().String()
	command.Action(a.action(func(context.Context) error {
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
			return withFileName(*path, err)
		}
		_, err = fmt.Fprintf(a.out, "%s: %s without fault\n", *path, kind)
		return err
	}))
}

// isChange reports whether a file is a change, which is the case if it has at least one field of a change. All other files
// are treated as settings.
func isChange(data []byte) bool {
	members, _ := validation.SplitObject(data)
	return slices.ContainsFunc(members, func(member validation.Member) bool {
		return slices.Contains(changeFields, member.Name)
	})
}

// readFile reads a file that was named on the command line.
func readFile(path string) ([]byte, error) {
	return os.ReadFile(path) //nolint:gosec // The operator names the file on the command line.
}

// fileError is the error of an invalid file. Its text has one line for each fault, prefixed with the path.
type fileError struct {
	path   string
	faults *validation.Error
}

// Error returns the path and the text of each fault, one fault a line.
func (e *fileError) Error() string {
	lines := make([]string, 0, len(e.faults.Faults))
	for _, f := range e.faults.Faults {
		lines = append(lines, e.path+": "+f.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the *validation.Error.
func (e *fileError) Unwrap() error { return e.faults }

// withFileName prefixes each fault of a *validation.Error with the path of the file. Other errors are returned unchanged.
func withFileName(path string, err error) error {
	var faults *validation.Error
	if errors.As(err, &faults) {
		return &fileError{path: path, faults: faults}
	}
	return err
}
