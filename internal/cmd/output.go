package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/chicorydale/chicorydale/internal/oas"
	"github.com/chicorydale/chicorydale/pkg/client"
)

// printResult writes the value if JSON output was asked for, otherwise a table of the rows.
func (a *app) printResult(value any, heading string, rows [][]string) error {
	if a.jsonOutput {
		return a.printJSON(value)
	}
	return a.printTable(heading, rows)
}

// printJSON writes a value as indented JSON.
func (a *app) printJSON(value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "%s\n", text)
	return err
}

// printTable writes rows in aligned columns. The heading holds the column names, separated by spaces; they are printed in
// upper case.
func (a *app) printTable(heading string, rows [][]string) error {
	const padding = 2
	writer := tabwriter.NewWriter(a.out, 0, 0, padding, ' ', 0)
	lines := make([]string, 0, 1+len(rows))
	lines = append(lines, strings.Join(strings.Fields(strings.ToUpper(heading)), "\t"))
	for _, row := range rows {
		lines = append(lines, strings.Join(row, "\t"))
	}
	if _, err := fmt.Fprintln(writer, strings.Join(lines, "\n")); err != nil {
		return err
	}
	return writer.Flush()
}

// errorText returns the message for an error. For a refusal, it includes whether the request was executed and when to
// retry.
func errorText(err error) string {
	var apiRefusal *oas.RefusalStatusCode
	var clientRefusal *client.Refusal
	switch {
	case errors.As(err, &apiRefusal):
		r := apiRefusal.Response
		text := refusalText(r.Code, r.Message, string(r.Ran), r.RetryAt.Or(time.Time{}))
		if version, ok := r.Version.Get(); ok {
			text += fmt.Sprintf("; the current version is %d", version)
		}
		return text
	case errors.As(err, &clientRefusal):
		return refusalText(clientRefusal.Code, clientRefusal.Message, clientRefusal.Ran, clientRefusal.RetryAt)
	default:
		return err.Error()
	}
}

// refusalText formats a refusal as one line.
func refusalText(code, message, execution string, retryAt time.Time) string {
	text := fmt.Sprintf("refused: %s: %s (ran: %s)", code, message, execution)
	if !retryAt.IsZero() {
		text += "; retry at " + retryAt.UTC().Format(time.RFC3339Nano)
	}
	return text
}

// orDash returns the text, or "-" if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
