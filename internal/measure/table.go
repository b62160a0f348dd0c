package measure

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// columnTitles are the titles of the table's columns.
var columnTitles = []string{
	"deployment", "scenario", "policy", "gap", "of bound", "used", "wasted",
	"first long", "first quick", "first tagging", "whole long", "whole quick", "whole tagging", "whole service",
	"B/node/s", "far B/s", "requests", "answered", "refused", "lost", "doubled", "twice",
}

// Table writes the results as a Markdown table.
func Table(out io.Writer, results []Result) error {
	rows := make([][]string, 0, len(results)+2)
	rows = append(rows, columnTitles)
	for _, r := range results {
		rows = append(rows, r.cells())
	}
	widths := make([]int, len(columnTitles))
	for _, row := range rows {
		for i, cell := range row {
			widths[i] = max(widths[i], len(cell))
		}
	}
	separator := make([]string, len(columnTitles))
	for i, width := range widths {
		separator[i] = strings.Repeat("-", width)
	}
	for _, row := range slices.Insert(rows, 1, separator) {
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

// cells returns the cells of a result's row.
func (r Result) cells() []string {
	return []string{
		r.Deployment, r.Scenario, r.Policy, fmt.Sprintf("%.0f", r.MaxGap), fmt.Sprintf("%.2f", r.MaxBoundShare),
		fmt.Sprintf("%.2f%%", 100*r.UsedShare), fmt.Sprintf("%.2f%%", 100*r.WastedShare),
		r.FirstTokenLatency["long"].String(), r.FirstTokenLatency["quick"].String(),
		r.FirstTokenLatency["tagging"].String(),
		r.TotalLatency["long"].String(), r.TotalLatency["quick"].String(), r.TotalLatency["tagging"].String(),
		r.TotalLatency["service"].String(),
		fmt.Sprintf("%.0f", r.ControlBytesPerRouter), fmt.Sprintf("%.0f", r.CrossRegionBytes),
		fmt.Sprint(r.Requests), fmt.Sprint(r.Answered), r.formatRefusals(),
		fmt.Sprint(r.Lost), fmt.Sprint(r.DuplicateEnds), fmt.Sprint(r.RepeatedBookings),
	}
}

// String returns the quantiles in seconds, separated by slashes.
func (q Quantiles) String() string {
	return fmt.Sprintf("%.3g/%.3g/%.3g", q[0]/1000, q[1]/1000, q[2]/1000)
}

// formatRefusals returns the refusals as a list of codes with counts, in the order of the codes.
func (r Result) formatRefusals() string {
	reasons := make([]string, 0, len(r.Refusals))
	for _, code := range slices.Sorted(maps.Keys(r.Refusals)) {
		reasons = append(reasons, fmt.Sprintf("%s %d", code, r.Refusals[code]))
	}
	return strings.Join(reasons, ", ")
}
