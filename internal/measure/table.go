package measure

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// columns are the titles of the table.
var columns = []string{
	"deployment", "scenario", "policy", "gap", "of bound", "used", "wasted",
	"first long", "first quick", "first tagging", "whole long", "whole quick", "whole tagging", "whole service",
	"B/node/s", "far B/s", "requests", "answered", "refused", "lost", "doubled", "twice",
}

// Table writes results as one table in Markdown.
func Table(out io.Writer, results []Result) error {
	rows := make([][]string, 0, len(results)+2)
	rows = append(rows, columns)
	for _, r := range results {
		rows = append(rows, r.row())
	}
	widths := make([]int, len(columns))
	for _, row := range rows {
		for i, cell := range row {
			widths[i] = max(widths[i], len(cell))
		}
	}
	rule := make([]string, len(columns))
	for i, width := range widths {
		rule[i] = strings.Repeat("-", width)
	}
	for _, row := range slices.Insert(rows, 1, rule) {
		for i, cell := range row {
			if _, err := fmt.Fprintf(out, "| %-*s ", widths[i], cell); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintln(out, "|"); err != nil {
			return err
		}
	}
	return nil
}

// row returns the cells of a result.
func (r Result) row() []string {
	return []string{
		r.Deployment, r.Scenario, r.Policy, fmt.Sprintf("%.0f", r.Gap), fmt.Sprintf("%.2f", r.Bound),
		fmt.Sprintf("%.2f%%", 100*r.Used), fmt.Sprintf("%.2f%%", 100*r.Wasted),
		r.First["long"].String(), r.First["quick"].String(), r.First["tagging"].String(),
		r.Whole["long"].String(), r.Whole["quick"].String(), r.Whole["tagging"].String(), r.Whole["service"].String(),
		fmt.Sprintf("%.0f", r.Bytes), fmt.Sprintf("%.0f", r.Remote),
		fmt.Sprint(r.Requests), fmt.Sprint(r.Answered), r.refused(),
		fmt.Sprint(r.Lost), fmt.Sprint(r.Doubled), fmt.Sprint(r.Twice),
	}
}

// String returns the quantiles in seconds.
func (q Quantiles) String() string {
	return fmt.Sprintf("%.3g/%.3g/%.3g", q[0]/1000, q[1]/1000, q[2]/1000)
}

// refused returns the refusals by reason.
func (r Result) refused() string {
	reasons := make([]string, 0, len(r.Refusals))
	for _, code := range slices.Sorted(maps.Keys(r.Refusals)) {
		reasons = append(reasons, fmt.Sprintf("%s %d", code, r.Refusals[code]))
	}
	return strings.Join(reasons, ", ")
}
