package router

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/entry"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/oas"
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

const (
	// bytesPerToken is the usual length of a prompt token, to estimate the cost of a prompt.
	bytesPerToken = 4
	// prefixBytes is the part of a prompt that decides which targets may have it cached.
	prefixBytes = 256
	// cacheControl keeps intermediaries from storing event streams.
	cacheControl = "no-store"
)

// Generate runs a model call; it implements oas.Handler.
func (r *Router) Generate(
	ctx context.Context, request *oas.GenerateRequest, params oas.GenerateParams,
) (*oas.GenerateOKHeaders, error) {
	r.open.Add(1)
	released := false
	defer func() {
		if !released {
			r.open.Add(-1)
		}
	}()
	if refused := r.admit(ctx); refused != nil {
		return nil, refused
	}
	open, queued, refused := r.newRun(ctx, request, params.Model)
	if refused != nil {
		return nil, refused
	}
	if refused := open.submit(ctx, queued); refused != nil {
		return nil, refused
	}
	life, expire := open.life(ctx)
	stream, refused := open.start(ctx, life)
	if refused != nil {
		expire()
		return nil, refused
	}
	open.answer = newAnswer(resumeToken(open.target, open.call.StreamID))
	released = true
	r.tasks.Go(func() {
		defer r.open.Add(-1)
		defer expire()
		defer r.recoverStream(open.answer, func() { open.finish(fleetpb.Outcome_OUTCOME_CANCELLED) })
		open.pump(life, stream)
	})
	if refused := open.answer.begun(ctx); refused != nil {
		return nil, refused
	}
	return &oas.GenerateOKHeaders{
		CacheControl: oas.NewOptString(cacheControl),
		Response:     oas.GenerateOK{Data: newEventStream(ctx, open.answer, 0)},
	}, nil
}

// newRun checks a call and returns its run and its request for the queue.
func (r *Router) newRun(
	ctx context.Context, request *oas.GenerateRequest, model string,
) (*run, entry.Request, *refusal.Error) {
	caller := customer(ctx)
	if refused := r.checkTarget(ctx, model, refusal.UnknownModel); refused != nil {
		return nil, entry.Request{}, refused
	}
	if refused := checkSize(caller, len(request.Prompt)); refused != nil {
		return nil, entry.Request{}, refused
	}
	prompt := len(request.Prompt) / bytesPerToken
	prefix := request.Prompt[:min(len(request.Prompt), prefixBytes)]
	queued := entry.Request{
		Customer:     caller.Number,
		Model:        model,
		Class:        request.Class,
		BodyBytes:    len(request.Prompt),
		PromptTokens: prompt,
		MaxTokens:    request.MaxTokens.Or(0),
		PrefixHash:   xxhash.Sum64String(prefix),
		Deadline:     request.Deadline.Or(time.Time{}),
	}
	open := &run{
		router:      r,
		customer:    caller.Number,
		name:        caller.Name,
		fingerprint: xxhash.Sum64String(strings.Join([]string{caller.Name, model, request.Prompt}, "\x00")),
		prompt:      prompt,
		call: outside.GenerateRequest{
			StreamID:  newStream(caller.Number),
			Prompt:    request.Prompt,
			MaxTokens: request.MaxTokens.Or(0),
		},
		deadline:  queued.Deadline,
		decisions: make(chan entry.Decision, 1),
	}
	return open, queued, nil
}

// checkTarget returns a refusal if no target serves a model or service.
func (r *Router) checkTarget(ctx context.Context, model string, code refusal.Code) *refusal.Error {
	found := false
	err := r.do(ctx, func(time.Time) { _, found = r.node.View().HomePool(model) })
	if err != nil {
		return refusal.New(refusal.ShuttingDown, err.Error())
	}
	if !found {
		return refusal.Newf(code, "no target serves %q", model)
	}
	return nil
}

// checkSize returns a refusal if a body is over the customer's limit.
func checkSize(caller config.ResolvedCustomer, size int) *refusal.Error {
	if int64(size) > caller.Limits.BodyBytes {
		return refusal.Newf(refusal.TooLarge, "the body is larger than %d bytes", caller.Limits.BodyBytes)
	}
	return nil
}

// Resume goes on with the stream of a call that began at any router; it implements oas.Handler. It is answered while
// the router drains, since the stream runs at its target anyway.
func (r *Router) Resume(ctx context.Context, params oas.ResumeParams) (*oas.ResumeOKHeaders, error) {
	target, stream, ok := parseToken(params.Token, customer(ctx).Number)
	if !ok {
		return nil, refusal.New(refusal.UnknownStream, "the token names no stream of this customer")
	}
	var address string
	if err := r.do(ctx, func(time.Time) {
		known, _ := r.node.View().Target(target)
		address = known.Address
	}); err != nil {
		return nil, refusal.New(refusal.ShuttingDown, err.Error())
	}
	if address == "" {
		return nil, refusal.New(refusal.UnknownStream, "the stream's target has gone").WithExecutionUnknown()
	}
	from := params.From.Or(0)
	attached, err := r.outside.Engine(target, address).Resume(ctx, stream, from)
	if err != nil {
		return nil, refuseResume(err)
	}
	copied := newAnswer(params.Token)
	r.open.Add(1)
	r.tasks.Go(func() {
		defer r.open.Add(-1)
		defer r.recoverStream(copied, func() {})
		copyStream(attached, copied, from)
	})
	return &oas.ResumeOKHeaders{
		CacheControl: oas.NewOptString(cacheControl),
		Response:     oas.ResumeOK{Data: newEventStream(ctx, copied, from)},
	}, nil
}

// refuseResume returns the refusal of a stream that could not be attached to.
func refuseResume(err error) *refusal.Error {
	var rejected *outside.RejectedError
	if errors.As(err, &rejected) {
		return refusal.New(refusal.UnknownStream, "the target does not know the stream any more").WithExecutionUnknown()
	}
	refused := refusal.Newf(refusal.TargetFailed, "the target cannot be reached: %v", err)
	return refused.WithExecutionUnknown().WithRetryAt(time.Now().Add(time.Second))
}

// copyStream moves the tokens of an attached stream into an answer.
func copyStream(from outside.Stream, to *answer, next int64) {
	defer from.Close() //nolint:errcheck // The stream has been read to its end.
	for {
		token, err := from.Next()
		if err == nil && token.Index == next {
			next++
			to.add(token)
			continue
		}
		if err == nil {
			err = errGap
		}
		to.end(endOf(err))
		return
	}
}
