package command

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/emulator/registration"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/external/transport"
)

// addRegister adds the flags of the sub-command register, which changes one entry of a host list.
func addRegister(cmd *kingpin.CmdClause) action {
	var host external.Host
	hostListAddr := cmd.Flag("hosts", "Address of the host list.").Required().String()
	role := cmd.Flag("role", "Role of the host.").Default("router").Enum("router", "engine", "service")
	leaving := cmd.Flag("leaving", "Only mark the entry as leaving.").Bool()
	remove := cmd.Flag("remove", "Only remove the entry.").Bool()
	cmd.Flag("name", "Name of the host.").Required().StringVar(&host.Name)
	cmd.Flag("region", "Region of the host.").StringVar(&host.Region)
	cmd.Flag("zone", "Availability zone of the host.").StringVar(&host.Zone)
	cmd.Flag("address", "IP address and port for calls.").StringVar(&host.Address)
	cmd.Flag("link", "IP address and port for links.").StringVar(&host.LinkAddress)
	cmd.Flag("model", "Model or service of a target.").StringVar(&host.Model)
	cmd.Flag("slots", "Slots of a target.").IntVar(&host.Slots)
	cmd.Flag("fenced", "The target checks fencing numbers.").BoolVar(&host.Fenced)
	return func(ctx context.Context, _ io.Writer) error {
		ctx, cancel := context.WithTimeout(ctx, clientTimeout)
		defer cancel()
		client := registration.New(*hostListAddr, transport.New())
		switch {
		case *leaving:
			return client.Leave(ctx, host.Name)
		case *remove:
			return client.Remove(ctx, host.Name)
		}
		host.Role = external.Role(*role)
		return client.Put(ctx, host)
	}
}
