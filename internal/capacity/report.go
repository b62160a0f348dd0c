package capacity

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteTables writes the points of each series as a table, followed by the fitted lines.
func WriteTables(out io.Writer, all []Series) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, series := range all {
		if _, err := io.WriteString(table, series.formatTable()); err != nil {
			return err
		}
	}
	return table.Flush()
}

// formatTable returns the table of a series with its cells separated by tabs.
func (s Series) formatTable() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s\tcore %%\tmemory MB\tcontrol B/s\tcross B/s\tanswered\tfailed\tappends/s\t\n", s.Name)
	for _, point := range s.Points {
		fmt.Fprintf(&text, "%g\t%.2f\t%.1f\t%.0f\t%.0f\t%d\t%d\t%.1f\t\n", point.X, 100*point.Cost.CPUCores,
			point.Cost.MemoryBytes/1e6, point.Cost.ControlBytesPerSecond, point.Cost.CrossRegionBytesPerSecond,
			point.Answered, point.Failed, point.AppendsPerSecond)
	}
	fmt.Fprintf(&text, "slope\t%.4f\t%.5f\t%.2f\t\t\t\t\t\n", 100*s.CPULine.Slope, s.MemoryLine.Slope/1e6, s.ControlLine.Slope)
	fmt.Fprintf(&text, "base\t%.2f\t%.1f\t%.0f\t\t\t\t\t\n",
		100*s.CPULine.Intercept, s.MemoryLine.Intercept/1e6, s.ControlLine.Intercept)
	fmt.Fprintf(&text, "fit\t%.3f\t%.3f\t%.3f\t\t\t\t\t\n\t\t\t\t\t\t\t\t\n",
		s.CPULine.RSquared, s.MemoryLine.RSquared, s.ControlLine.RSquared)
	return text.String()
}
