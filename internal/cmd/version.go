package cmd

import (
	"context"
	"runtime/debug"
)

// addVersion adds the command that prints the version.
func (a *app) addVersion() {
	command := a.kingpin.Command("version", "Print the version of the program.")
	a.withJSON(command)
	command.Action(a.run(func(context.Context) error {
		version, revision, compiler := "unknown", "unknown", "unknown"
		if build, ok := debug.ReadBuildInfo(); ok {
			version, compiler = build.Main.Version, build.GoVersion
			for _, setting := range build.Settings {
				if setting.Key == "vcs.revision" {
					revision = setting.Value
				}
			}
		}
		return a.print(map[string]string{"version": version, "revision": revision, "go": compiler},
			"version revision go", [][]string{{optional(version), revision, compiler}})
	}))
}
