package cmd

import (
	"context"
	"runtime/debug"
)

// addVersionCommand adds the command version.
func (a *app) addVersionCommand() {
	command := a.kingpin.Command("version", "Print the version of the program.")
	a.addJSONFlag(command)
	command.Action(a.action(func(context.Context) error {
		version, revision, compiler := "unknown", "unknown", "unknown"
		if build, ok := debug.ReadBuildInfo(); ok {
			version, compiler = build.Main.Version, build.GoVersion
			for _, setting := range build.Settings {
				if setting.Key == "vcs.revision" {
					revision = setting.Value
				}
			}
		}
		return a.printResult(map[string]string{"version": version, "revision": revision, "go": compiler},
			"version revision go", [][]string{{orDash(version), revision, compiler}})
	}))
}
