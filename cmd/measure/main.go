// Command measure prints the figures of the product and of baselines under the same load; see docs/measures.md.
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
		Policies: *policies, Seed: *seed, Length: time.Duration(*seconds) * time.Second,
	}
	if len(plan.Policies) == 0 {
		plan.Policies = measure.Policies()
	}
	app.FatalIfError(write(plan.Run(), *file), "")
}

// names returns the names of deployments or scenarios.
func names[T fmt.Stringer](all []T) []string {
	out := make([]string, 0, len(all))
	for _, one := range all {
		out = append(out, one.String())
	}
	return out
}

// write prints the table and writes the file, if one is named.
func write(results []measure.Result, file string) error {
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
