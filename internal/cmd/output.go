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

// print writes a value as JSON or as a table with a heading.
func (a *app) print(value any, heading string, rows [][]string) error {
	if a.json {
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

// printTable writes rows in columns under a heading of words.
func (a *app) printTable(heading string, rows [][]string) error {
	const gap = 2
	writer := tabwriter.NewWriter(a.out, 0, 0, gap, ' ', 0)
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

// describe returns the text of an error, for refusals with what they say of the request.
func describe(err error) string {
	var answer *oas.RefusalStatusCode
	var refused *client.Refusal
	switch {
	case errors.As(err, &answer):
		r := answer.Response
		text := refusalText(r.Code, r.Message, string(r.Ran), r.RetryAt.Or(time.Time{}))
		if version, ok := r.Version.Get(); ok {
			text += fmt.Sprintf("; the current version is %d", version)
		}
		return text
	case errors.As(err, &refused):
		return refusalText(refused.Code, refused.Message, refused.Ran, refused.RetryAt)
	default:
		return err.Error()
	}
}

// refusalText returns a refusal in one line.
func refusalText(code, message, ran string, retry time.Time) string {
	text := fmt.Sprintf("refused: %s: %s (ran: %s)", code, message, ran)
	if !retry.IsZero() {
		text += "; retry at " + retry.UTC().Format(time.RFC3339Nano)
	}
	return text
}

// optional returns a text, or a dash if it is empty.
func optional(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
