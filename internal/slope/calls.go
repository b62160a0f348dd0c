package slope

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/chicorydale/chicorydale/internal/load"
	"github.com/chicorydale/chicorydale/pkg/client"
)

// prompt is the prompt of all calls.
const prompt = "slope"

// failed is the code of a call that was neither answered nor refused.
const failed = "failed"

// callers returns a client for each customer, by key; each sends through all routers in turn.
func (f *fleet) callers(customers int) (map[string]*client.Client, error) {
	callers := make(map[string]*client.Client, customers)
	for i := range customers {
		caller, err := client.New(f.entries(), customerKey(i))
		if err != nil {
			return nil, err
		}
		callers[customerKey(i)] = caller
	}
	return callers, nil
}

// generate makes the model calls of a plan.
func (f *fleet) generate(ctx context.Context, plan load.Plan, customers, tokens int, point *Point) error {
	callers, err := f.callers(customers)
	if err != nil {
		return err
	}
	for i := range customers {
		plan.Customers = append(plan.Customers, customerKey(i))
	}
	plan.Classes = []string{"quick"}
	summary := load.Run(ctx, plan, func(ctx context.Context, call load.Call) load.Outcome {
		stream, err := callers[call.Customer].Generate(ctx, model,
			client.GenerateRequest{Class: call.Class, Prompt: prompt, MaxTokens: tokens})
		if err != nil {
			return outcome(err, time.Time{})
		}
		defer stream.Close()
		for err == nil {
			_, err = stream.Next()
		}
		if errors.Is(err, io.EOF) {
			err = nil
		}
		return outcome(err, time.Now())
	})
	point.count(summary)
	return nil
}

// outcome returns what became of a call.
func outcome(err error, at time.Time) load.Outcome {
	var refused *client.Refusal
	switch {
	case err == nil:
		return load.Outcome{FirstTokenAt: at}
	case errors.As(err, &refused):
		return load.Outcome{Code: refused.Code, Refused: true}
	default:
		return load.Outcome{Code: failed}
	}
}

// count adds the calls of a load to the point.
func (p *Point) count(summary *load.Summary) {
	all := summary.Rows()[0]
	p.Answered += int(all.Answered)
	p.Failed += int(all.Refused + all.Failed)
}
