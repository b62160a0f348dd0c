package slope

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Write writes the series as tables: the points, then the slopes.
func Write(out io.Writer, all []Series) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, series := range all {
		if _, err := io.WriteString(table, series.rows()); err != nil {
			return err
		}
	}
	return table.Flush()
}

// rows returns the table of a series with its cells separated by tabs.
func (s Series) rows() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s\tcore %%\tmemory MB\tcontrol B/s\tcross B/s\tanswered\tfailed\tappends/s\t\n", s.Name)
	for _, point := range s.Points {
		fmt.Fprintf(&text, "%g\t%.2f\t%.1f\t%.0f\t%.0f\t%d\t%d\t%.1f\t\n", point.X, 100*point.Cost.Core,
			point.Cost.Memory/1e6, point.Cost.Control, point.Cost.Cross, point.Answered, point.Failed, point.Appends)
	}
	fmt.Fprintf(&text, "slope\t%.4f\t%.5f\t%.2f\t\t\t\t\t\n", 100*s.Core.Slope, s.Memory.Slope/1e6, s.Control.Slope)
	fmt.Fprintf(&text, "base\t%.2f\t%.1f\t%.0f\t\t\t\t\t\n", 100*s.Core.Base, s.Memory.Base/1e6, s.Control.Base)
	fmt.Fprintf(&text, "fit\t%.3f\t%.3f\t%.3f\t\t\t\t\t\n\t\t\t\t\t\t\t\t\n", s.Core.Fit, s.Memory.Fit, s.Control.Fit)
	return text.String()
}
