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

// callCommand holds the flags of the command call, which makes a single call or generates load.
type callCommand struct {
	app          *app
	model        string
	service      string
	operation    string
	prompt       string
	maxTokens    int
	arguments    map[string]string
	generateKeys bool
	repeatedKey  string
	customers    map[string]string
	classes      []string
	rate         float64
	duration     time.Duration
	seed         uint64
	maxInFlight  int
	callTimeout  time.Duration
	once         bool
}

// addCallCommand adds the command call.
func (a *app) addCallCommand() {
	c := &callCommand{app: a, arguments: make(map[string]string), customers: make(map[string]string)}
	command := a.kingpin.Command("call", "Call a model or a service once, or generate load.")
	command.Flag("model", "Model to call.").StringVar(&c.model)
	command.Flag("service", "Service to call.").StringVar(&c.service)
	command.Flag("operation", "Operation of the service.").StringVar(&c.operation)
	command.Flag("prompt", "Prompt of model calls.").Default("Once upon a time").StringVar(&c.prompt)
	command.Flag("tokens", "Maximum number of tokens of an answer.").Default("64").IntVar(&c.maxTokens)
	command.Flag("argument", "Argument of service calls; can be repeated.").
		PlaceHolder("NAME=VALUE").StringMapVar(&c.arguments)
	command.Flag("keyed", "Send a new idempotency key with each service call.").BoolVar(&c.generateKeys)
	command.Flag("repeat", "Idempotency key of an earlier service call to repeat with --once.").
		PlaceHolder("UUID").StringVar(&c.repeatedKey)
	command.Flag("class", "Class of the calls; can be repeated, each call then picks one at random.").StringsVar(&c.classes)
	command.Flag("customer",
		"Customer of the calls and its API key, instead of --key; can be repeated, each call then picks one at random.").
		PlaceHolder("NAME=KEY").StringMapVar(&c.customers)
	command.Flag("once", "Make one call and print the answer.").BoolVar(&c.once)
	command.Flag("rate", "Mean number of calls started per second, whether or not earlier ones were answered.").Default("10").
		Float64Var(&c.rate)
	command.Flag("duration", "Period in which calls are started.").Default("10s").DurationVar(&c.duration)
	command.Flag("seed", "Seed of the random start times, classes and customers.").Default("1").Uint64Var(&c.seed)
	command.Flag("open", "Maximum number of calls in flight; calls beyond it are skipped.").Default("10000").IntVar(&c.maxInFlight)
	command.Flag("deadline", "Timeout of a call.").Default("60s").DurationVar(&c.callTimeout)
	a.addJSONFlag(command)
	command.Action(a.action(c.run))
	command.Validate(func(*kingpin.CmdClause) error {
		if problem := c.usageProblem(); problem != "" {
			return &usageError{problem: problem}
		}
		return nil
	})
}

// usageProblem returns a message on flags that are missing, invalid or do not fit together, or "" if the flags are valid.
func (c *callCommand) usageProblem() string {
	switch {
	case (c.model == "") == (c.service == ""):
		return "call needs either --model or --service"
	case (c.service == "") != (c.operation == ""):
		return "--service and --operation must be given together"
	case c.generateKeys && c.service == "":
		return "--keyed needs --service"
	case c.repeatedKey != "" && (c.service == "" || !c.once):
		return "--repeat needs --service and --once"
	case c.generateKeys && c.repeatedKey != "":
		return "--keyed and --repeat cannot be given together"
	case c.model != "" && len(c.classes) == 0:
		return "--model needs --class"
	case c.rate <= 0 || c.duration <= 0 || c.callTimeout <= 0 || c.maxTokens <= 0 || c.maxInFlight <= 0:
		return "--rate, --duration, --deadline, --tokens and --open must be greater than zero"
	case c.once && len(c.customers) > 1:
		return "--once allows at most one --customer"
	}
	return ""
}

// run makes one call with --once, otherwise those of the load.
func (c *callCommand) run(ctx context.Context) error {
	if err := c.app.checkAddresses(); err != nil {
		return err
	}
	clients, err := c.clientsByCustomer()
	if err != nil {
		return err
	}
	names := slices.Sorted(maps.Keys(clients))
	if c.once {
		return c.runOnce(ctx, clients[names[0]])
	}
	plan := load.Plan{
		Rate: c.rate, Duration: c.duration, Seed: c.seed, Customers: names, Classes: c.classes, MaxInFlight: c.maxInFlight,
	}
	summary := load.Run(ctx, plan, func(ctx context.Context, planned load.Call) load.Outcome {
		return c.measureCall(ctx, clients[planned.Customer], planned.Class)
	})
	return c.printSummary(summary)
}

// clientsByCustomer returns a client for each customer. Without customers, it returns one client with the API key of the
// command, under the name "".
func (c *callCommand) clientsByCustomer() (map[string]*client.Client, error) {
	keys := c.customers
	if len(keys) == 0 {
		keys = map[string]string{"": c.app.apiKey}
	}
	clients := make(map[string]*client.Client, len(keys))
	for name, key := range keys {
		customerClient, err := client.New(c.app.addresses, key)
		if err != nil {
			return nil, err
		}
		clients[name] = customerClient
	}
	return clients, nil
}
