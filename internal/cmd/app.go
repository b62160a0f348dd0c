package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/settings"
)

// Programs are the long-running processes that the command line can start.
type Programs struct {
	// RunRouter runs a router until the context ends, then drains it.
	RunRouter func(ctx context.Context, s settings.Settings) error
	// RunGateway runs a gateway on the platform with a settings file until the context ends, then drains it.
	RunGateway func(ctx context.Context, path string) error
}

// app is one run of the command line.
type app struct {
	kingpin   *kingpin.Application
	programs  Programs
	out       io.Writer
	addresses []string
	key       string
	timeout   time.Duration
	json      bool
	failure   error
}

// Main runs the command line with the arguments after the program's name and returns the exit code. The commands serve
// and edge run the programs.
func Main(args []string, programs Programs) int {
	a := newApp(programs, os.Stdout)
	if _, err := a.kingpin.Parse(args); err != nil {
		fmt.Fprintf(os.Stderr, "chicorydale: %v; see chicorydale --help\n", err)
		return exitUsage
	}
	if a.failure != nil {
		fmt.Fprintf(os.Stderr, "chicorydale: %s\n", describe(a.failure))
	}
	return exitCode(a.failure)
}

// newApp returns the command line with all commands.
func newApp(programs Programs, out io.Writer) *app {
	a := &app{
		kingpin:  kingpin.New("chicorydale", "Router of a fleet between callers and targets, and its operators' commands."),
		programs: programs,
		out:      out,
	}
	a.kingpin.HelpFlag.Short('h')
	a.kingpin.Flag("address", "IP address and port of a router; may be given several times.").
		PlaceHolder("IP:PORT").Default("127.0.0.1:8080").StringsVar(&a.addresses)
	a.kingpin.Flag("key", "Key of the operator or customer.").Envar("CHICORYDALE_KEY").StringVar(&a.key)
	a.kingpin.Flag("timeout", "Time limit of an operator's request.").Default("10s").DurationVar(&a.timeout)
	a.addServe()
	a.addEdge()
	config := a.kingpin.Command("config", "Check, publish and read the configuration.")
	a.addCheck(config)
	a.addPublish(config)
	a.addGet(config)
	a.addHistory(config)
	a.addCustomers()
	a.addTargets()
	a.addStatus()
	a.addCall()
	a.addReport()
	a.addKey()
	a.addVersion()
	return a
}

// run returns the action of a command. The context of the command ends with SIGTERM or an interrupt.
func (a *app) run(command func(context.Context) error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		a.failure = command(ctx)
		return nil
	}
}

// withJSON adds the flag for output in JSON.
func (a *app) withJSON(command *kingpin.CmdClause) {
	command.Flag("json", "Print JSON instead of a table.").BoolVar(&a.json)
}

// Names returns the commands and their flags as they are typed, for the check of the documentation.
func Names() []string {
	a := newApp(Programs{}, io.Discard)
	var names []string
	for _, flag := range a.kingpin.Model().Flags {
		if !flag.Hidden {
			names = append(names, "--"+flag.Name)
		}
	}
	for _, command := range a.kingpin.Model().FlattenedCommands() {
		names = append(names, command.FullCommand)
		for _, flag := range command.Flags {
			names = append(names, "--"+flag.Name)
		}
	}
	return names
}
