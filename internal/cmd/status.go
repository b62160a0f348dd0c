package cmd

import (
	"maps"
	"slices"
	"strconv"

	"github.com/chicorydale/chicorydale/internal/oas"
)

// addStatusCommand adds the command status.
func (a *app) addStatusCommand() {
	command := a.kingpin.Command("status", "Print the status of the router.")
	addQueryAction(a, command, (*oas.Client).GetStatus, "name value", func(status *oas.Status) [][]string {
		hostRows := [][]string{
			{"host", status.Host},
			{"region", status.Region},
			{"zone", status.Zone},
			{"ready", strconv.FormatBool(status.Ready)},
			{"version", strconv.FormatInt(status.ConfigVersion, 10)},
		}
		rows := append(make([][]string, 0, len(hostRows)+len(status.Peers)+len(status.Roles)+len(status.Counters)), hostRows...)
		for _, peer := range status.Peers {
			rows = append(rows, []string{"peer " + peer.Host, string(peer.State) + " in " + peer.Zone})
		}
		for _, role := range status.Roles {
			rows = append(rows, []string{"role", role})
		}
		for _, name := range slices.Sorted(maps.Keys(status.Counters)) {
			rows = append(rows, []string{name, strconv.FormatInt(status.Counters[name], 10)})
		}
		return rows
	})
}
