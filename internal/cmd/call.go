package cmd

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/load"
	"github.com/chicorydale/chicorydale/pkg/client"
)

// call holds the flags of the command call.
type call struct {
	app       *app
	model     string
	service   string
	operation string
	prompt    string
	tokens    int
	arguments map[string]string
	keyed     bool
	repeat    string
	customers map[string]string
	classes   []string
	rate      float64
	duration  time.Duration
	seed      uint64
	open      int
	deadline  time.Duration
	once      bool
}

// addCall adds the command that calls a model or a service.
func (a *app) addCall() {
	c := &call{app: a, arguments: make(map[string]string), customers: make(map[string]string)}
	command := a.kingpin.Command("call", "Call a model or a service, once or as a load.")
	command.Flag("model", "Model to call.").StringVar(&c.model)
	command.Flag("service", "Service to call.").StringVar(&c.service)
	command.Flag("operation", "Operation of the service.").StringVar(&c.operation)
	command.Flag("prompt", "Prompt of model calls.").Default("Once upon a time").StringVar(&c.prompt)
	command.Flag("tokens", "Greatest number of tokens of an answer.").Default("64").IntVar(&c.tokens)
	command.Flag("argument", "Argument of service calls; may be given several times.").
		PlaceHolder("NAME=VALUE").StringMapVar(&c.arguments)
	command.Flag("keyed", "Send a new idempotency key with each service call.").BoolVar(&c.keyed)
	command.Flag("repeat", "Idempotency key of an earlier service call to send again with --once.").
		PlaceHolder("UUID").StringVar(&c.repeat)
	command.Flag("class", "Class of the calls; of several, each is as likely as the others.").StringsVar(&c.classes)
	command.Flag("customer", "Customer of the calls with its key instead of --key; of several, each is as likely.").
		PlaceHolder("NAME=KEY").StringMapVar(&c.customers)
	command.Flag("once", "Make one call and print the answer.").BoolVar(&c.once)
	command.Flag("rate", "Mean calls per second, whether or not earlier ones were answered.").Default("10").
		Float64Var(&c.rate)
	command.Flag("duration", "Time in which calls begin.").Default("10s").DurationVar(&c.duration)
	command.Flag("seed", "Seed of the instants, classes and customers.").Default("1").Uint64Var(&c.seed)
	command.Flag("open", "Most calls that are open at the same time.").Default("10000").IntVar(&c.open)
	command.Flag("deadline", "Time after which the caller gives a call up.").Default("60s").DurationVar(&c.deadline)
	a.withJSON(command)
	command.Action(a.run(c.run))
	command.Validate(func(*kingpin.CmdClause) error {
		if problem := c.problem(); problem != "" {
			return &usageError{problem: problem}
		}
		return nil
	})
}

// problem returns what is wrong with the flags, empty if nothing is.
func (c *call) problem() string {
	switch {
	case (c.model == "") == (c.service == ""):
		return "call needs either --model or --service"
	case (c.service == "") != (c.operation == ""):
		return "--service and --operation go together"
	case c.keyed && c.service == "":
		return "--keyed is for --service"
	case c.repeat != "" && (c.service == "" || !c.once):
		return "--repeat is for --service with --once"
	case c.keyed && c.repeat != "":
		return "--keyed makes a new key and --repeat sends an old one"
	case c.model != "" && len(c.classes) == 0:
		return "--model needs --class"
	case c.rate <= 0 || c.duration <= 0 || c.deadline <= 0 || c.tokens <= 0 || c.open <= 0:
		return "--rate, --duration, --deadline, --tokens and --open must be more than zero"
	case c.once && len(c.customers) > 1:
		return "--once is for one customer"
	}
	return ""
}

// run makes the calls.
func (c *call) run(ctx context.Context) error {
	if err := c.app.checkAddresses(); err != nil {
		return err
	}
	callers, err := c.callers()
	if err != nil {
		return err
	}
	names := slices.Sorted(maps.Keys(callers))
	if c.once {
		return c.runOnce(ctx, callers[names[0]])
	}
	plan := load.Plan{
		Rate: c.rate, Duration: c.duration, Seed: c.seed, Customers: names, Classes: c.classes, MaxInFlight: c.open,
	}
	summary := load.Run(ctx, plan, func(ctx context.Context, next load.Call) load.Outcome {
		return c.measure(ctx, callers[next.Customer], next.Class)
	})
	return c.report(summary)
}

// callers returns a client for each customer; without customers, one with the key of the command.
func (c *call) callers() (map[string]*client.Client, error) {
	keys := c.customers
	if len(keys) == 0 {
		keys = map[string]string{"": c.app.key}
	}
	callers := make(map[string]*client.Client, len(keys))
	for name, key := range keys {
		caller, err := client.New(c.app.addresses, key)
		if err != nil {
			return nil, err
		}
		callers[name] = caller
	}
	return callers, nil
}
