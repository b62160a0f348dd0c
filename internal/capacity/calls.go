package capacity

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/chicorydale/chicorydale/internal/load"
	"github.com/chicorydale/chicorydale/pkg/client"
)

// promptText is the prompt of all calls.
const promptText = "slope"

// codeFailed is the outcome code of a call that was neither answered nor refused.
const codeFailed = "failed"

// newClients returns a client for each customer, by API key. Each client uses all routers in turn.
func (f *fleet) newClients(customers int) (map[string]*client.Client, error) {
	clients := make(map[string]*client.Client, customers)
	for i := range customers {
		caller, err := client.New(f.listenAddresses(), customerKey(i))
		if err != nil {
			return nil, err
		}
		clients[customerKey(i)] = caller
	}
	return clients, nil
}

// runModelCalls runs the model calls of a load plan and adds them to the point. Failed calls are counted there and not
// returned as an error.
func (f *fleet) runModelCalls(ctx context.Context, plan load.Plan, customers, tokens int, point *Point) error {
	clients, err := f.newClients(customers)
	if err != nil {
		return err
	}
	for i := range customers {
		plan.Customers = append(plan.Customers, customerKey(i))
	}
	plan.Classes = []string{"quick"}
	summary := load.Run(ctx, plan, func(ctx context.Context, call load.Call) load.Outcome {
		stream, err := clients[call.Customer].Generate(ctx, modelName,
			client.GenerateRequest{Class: call.Class, Prompt: promptText, MaxTokens: tokens})
		if err != nil {
			return outcomeOf(err, time.Time{})
		}
		defer stream.Close()
		for err == nil {
			_, err = stream.Next()
		}
		if errors.Is(err, io.EOF) {
			err = nil
		}
		return outcomeOf(err, time.Now())
	})
	point.addCalls(summary)
	return nil
}

// outcomeOf returns the outcome of a call that ended with err; firstTokenAt is used only if err is nil.
func outcomeOf(err error, firstTokenAt time.Time) load.Outcome {
	var refused *client.Refusal
	switch {
	case err == nil:
		return load.Outcome{FirstTokenAt: firstTokenAt}
	case errors.As(err, &refused):
		return load.Outcome{Code: refused.Code, Refused: true}
	default:
		return load.Outcome{Code: codeFailed}
	}
}

// addCalls adds the calls of a load to the counts of the point.
func (p *Point) addCalls(summary *load.Summary) {
	all := summary.Rows()[0]
	p.Answered += int(all.Answered)
	p.Failed += int(all.Refused + all.Failed)
}
