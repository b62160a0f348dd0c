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

// Programs are the long-running processes that the commands serve and edge start. A nil function means that this build
// does not include the process.
type Programs struct {
	// RunRouter runs a router until the context ends and then drains it. It implements the command serve.
	RunRouter func(ctx context.Context, s settings.Settings) error
	// RunGateway runs a gateway on the platform until the context ends and then drains it. The path is that of the
	// settings file. It implements the command edge.
	RunGateway func(ctx context.Context, path string) error
}

// app holds the parsed flags and the result of one invocation of the command line.
type app struct {
	kingpin        *kingpin.Application
	programs       Programs
	out            io.Writer
	addresses      []string
	apiKey         string
	requestTimeout time.Duration
	jsonOutput     bool
	err            error
}

// Main runs the command line and returns the exit code. The arguments do not include the program name. Errors are
// printed to standard error.
func Main(args []string, programs Programs) int {
	a := newApp(programs, os.Stdout)
	if _, err := a.kingpin.Parse(args); err != nil {
		fmt.Fprintf(os.Stderr, "chicorydale: %v; see chicorydale --help\n", err)
		return exitUsage
	}
	if a.err != nil {
		fmt.Fprintf(os.Stderr, "chicorydale: %s\n", errorText(a.err))
	}
	return exitCode(a.err)
}

// newApp returns the command line with all commands, which print to out.
func newApp(programs Programs, out io.Writer) *app {
	a := &app{
		kingpin:  kingpin.New("chicorydale", "Run a router between callers and targets, and operate a fleet of routers."),
		programs: programs,
		out:      out,
	}
	a.kingpin.HelpFlag.Short('h')
	a.kingpin.Flag("address", "IP address and port of a router; can be repeated.").
		PlaceHolder("IP:PORT").Default("127.0.0.1:8080").StringsVar(&a.addresses)
	a.kingpin.Flag("key", "API key of the operator or customer.").Envar("CHICORYDALE_KEY").StringVar(&a.apiKey)
	a.kingpin.Flag("timeout", "Timeout of an operator's request.").Default("10s").DurationVar(&a.requestTimeout)
	a.addServeCommand()
	a.addEdgeCommand()
	config := a.kingpin.Command("config", "Check, publish and read the configuration.")
	a.addCheckCommand(config)
	a.addPublishCommand(config)
	a.addGetCommand(config)
	a.addHistoryCommand(config)
	a.addCustomersCommand()
	a.addTargetsCommand()
	a.addStatusCommand()
	a.addCallCommand()
	a.addReportCommand()
	a.addKeyCommand()
	a.addVersionCommand()
	return a
}

// action returns a kingpin action that calls run with a context that ends on SIGTERM or SIGINT. It keeps the error of run
// in app.err, because kingpin would report it as a usage error.
func (a *app) action(run func(context.Context) error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		a.err = run(ctx)
		return nil
	}
}

// addJSONFlag adds the flag --json to a command.
func (a *app) addJSONFlag(command *kingpin.CmdClause) {
	command.Flag("json", "Print JSON instead of a table.").BoolVar(&a.jsonOutput)
}

// CommandAndFlagNames returns all commands and flags as they are typed. Tests compare them with the documentation.
func CommandAndFlagNames() []string {
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
