// Command measure simulates the router policy and several baselines under the same load and prints a table of results.
// See docs/measures.md.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/measure"
)

func main() {
	app := kingpin.New("measure", "Measure fairness, utilisation and control traffic in virtual time.")
	seed := app.Flag("seed", "Seed of the load.").Default("1").Uint64()
	seconds := app.Flag("seconds", "Virtual seconds of load.").Default("120").Uint32()
	deployment := app.Flag("deployment", "Measure this deployment only.").Enum(names(measure.Deployments())...)
	scenario := app.Flag("scenario", "Measure this scenario only.").Enum(names(measure.Scenarios())...)
	policies := app.Flag("policy", "Measure this policy only; may be repeated.").Enums(measure.Policies()...)
	file := app.Flag("json", "Write the results to this file too.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	plan := measure.Plan{
		Deployments: slices.DeleteFunc(measure.Deployments(), func(d measure.Deployment) bool {
			return *deployment != "" && d.Name != *deployment
		}),
		Scenarios: slices.DeleteFunc(measure.Scenarios(), func(s measure.Scenario) bool {
			return *scenario != "" && s.Name != *scenario
		}),
		Policies: *policies, Seed: *seed, LoadDuration: time.Duration(*seconds) * time.Second,
	}
	if len(plan.Policies) == 0 {
		plan.Policies = measure.Policies()
	}
	app.FatalIfError(writeResults(plan.Run(), *file), "")
}

// names returns the names of the given deployments or scenarios.
func names[T fmt.Stringer](items []T) []string {
	out := make([]string, 0, len(items))
	for _, item := range items {
		out = append(out, item.String())
	}
	return out
}

// writeResults prints the results as a table and, if a file is given, writes them to it as JSON.
func writeResults(results []measure.Result, file string) error {
	if err := measure.Table(os.Stdout, results); err != nil {
		return fmt.Errorf("print the table: %w", err)
	}
	if file == "" {
		return nil
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the results: %w", err)
	}
	return os.WriteFile(file, append(data, '\n'), 0o600)
}
