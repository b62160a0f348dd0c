package command

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/emulator/registration"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/external/transport"
)

const (
	// clientTimeout bounds each request of the emulator to another emulated system. A target retries its registration within
	// this time, so that the host list may be started a little later than the targets.
	clientTimeout = 10 * time.Second
	// deregisterTimeout bounds each change of a target's entry in the host list when the process ends.
	deregisterTimeout = time.Second
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = 10 * time.Second
	// crashExitStatus is the exit status of a process that a call crashed. A shell reports the same status, 128 + 9, for a process
	// killed by SIGKILL.
	crashExitStatus = 137
)

// serverCommand holds the flags that sub-commands running an emulated system have in common.
type serverCommand struct {
	listenAddr string
	// hostListAddr is the address of the host list; empty if the system does not register itself.
	hostListAddr string
	role         string
	reportLag    time.Duration
	// gracePeriod is the time between marking the target as leaving and removing its entry.
	gracePeriod time.Duration
	crashWord   string
	// host is the entry of the target in the host list. Its name is set for all systems.
	host external.Host
}

// leavingMarker is implemented by targets that can mark themselves as leaving in their load reports.
type leavingMarker interface {
	Leave()
}

// readyMessage is the JSON line that a process prints when it accepts connections.
type readyMessage struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Address string `json:"address"`
}

// addServerFlags adds the flags that all emulated systems have.
func addServerFlags(cmd *kingpin.CmdClause, role string) *serverCommand {
	c := &serverCommand{role: role}
	cmd.Flag("listen", "IP address and port to listen on.").Default("127.0.0.1:0").StringVar(&c.listenAddr)
	cmd.Flag("name", "Name of the process.").Default(role).StringVar(&c.host.Name)
	return c
}

// addTargetFlags adds the flags of a target that registers itself in the host list. The argument slots is the default of the
// flag of that name.
func addTargetFlags(cmd *kingpin.CmdClause, role string, slots int) *serverCommand {
	c := addServerFlags(cmd, role)
	c.host.Role = external.Role(role)
	cmd.Flag("hosts", "Address of the host list to register in.").StringVar(&c.hostListAddr)
	cmd.Flag("region", "Region of the target.").StringVar(&c.host.Region)
	cmd.Flag("zone", "Availability zone of the target.").StringVar(&c.host.Zone)
	cmd.Flag("model", "Model or service of the target.").StringVar(&c.host.Model)
	cmd.Flag("slots", "Requests that run at the same time.").Default(strconv.Itoa(slots)).IntVar(&c.host.Slots)
	cmd.Flag("grace", "Time between marking the target as leaving and its end.").Default("0s").DurationVar(&c.gracePeriod)
	cmd.Flag("lag", "Lag of load reports.").Default("250ms").DurationVar(&c.reportLag)
	cmd.Flag("crash-word", "Word that makes a request crash the target.").StringVar(&c.crashWord)
	return c
}

// serve registers the target if a host list is set, prints the ready message, and serves the handler until the context ends.
// A target is removed from the host list when serve returns.
func (c *serverCommand) serve(ctx context.Context, stdout io.Writer, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.listenAddr)
	if err != nil {
		return err
	}
	c.host.Address = listener.Addr().String()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	if c.hostListAddr != "" {
		client := registration.New(c.hostListAddr, transport.New())
		if err := c.register(ctx, client); err != nil {
			return err
		}
		defer c.deregister(client, handler)
	}
	line := readyMessage{Name: c.host.Name, Role: c.role, Address: c.host.Address}
	if err := json.NewEncoder(stdout).Encode(line); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-served:
		return errors.Join(errors.New("HTTP server stopped unexpectedly"), err)
	}
}

// register adds the target to the host list.
func (c *serverCommand) register(ctx context.Context, client *registration.Client) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	return client.Put(ctx, c.host)
}

// deregister marks the target as leaving and waits for the grace period, if there is one, and removes the target from the
// host list. Errors are ignored, so that an unreachable host list does not keep the process from ending.
func (c *serverCommand) deregister(client *registration.Client, handler http.Handler) {
	if marker, ok := handler.(leavingMarker); ok && c.gracePeriod > 0 {
		marker.Leave()
		c.updateEntry(client.Leave)
		time.Sleep(c.gracePeriod)
	}
	c.updateEntry(client.Remove)
}

// updateEntry applies a change to the target's entry in the host list and ignores its error.
func (c *serverCommand) updateEntry(change func(ctx context.Context, name string) error) {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	_ = change(ctx, c.host.Name)
}

// exitAsCrashed ends the process at once, without deregistering it, as a crash does.
func exitAsCrashed() { os.Exit(crashExitStatus) }
