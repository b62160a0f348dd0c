package router

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/oas"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/requestqueue"
)

const (
	// bytesPerToken is the typical length of a token, with which the number of prompt tokens is estimated.
	bytesPerToken = 4
	// prefixBytes is the length of the start of a prompt whose hash identifies the targets that may have the prompt cached.
	prefixBytes = 256
	// cacheControl tells intermediaries not to store event streams.
	cacheControl = "no-store"
)

// Generate runs a model call and returns its answer as an event stream; it implements oas.Handler. A refusal before the
// first token is returned as an error, a later one is the last event. The call continues if the caller disconnects after a
// target has begun to answer, so that the caller can resume the stream.
func (r *Router) Generate(
	ctx context.Context, request *oas.GenerateRequest, params oas.GenerateParams,
) (*oas.GenerateOKHeaders, error) {
	r.openCalls.Add(1)
	handedOver := false
	defer func() {
		if !handedOver {
			r.openCalls.Add(-1)
		}
	}()
	if refusalErr := r.checkAdmission(ctx); refusalErr != nil {
		return nil, refusalErr
	}
	call, queueRequest, refusalErr := r.newModelCall(ctx, request, params.Model)
	if refusalErr != nil {
		return nil, refusalErr
	}
	if refusalErr := call.submit(ctx, queueRequest); refusalErr != nil {
		return nil, refusalErr
	}
	streamCtx, cancel := call.streamContext(ctx)
	stream, refusalErr := call.startStream(ctx, streamCtx)
	if refusalErr != nil {
		cancel()
		return nil, refusalErr
	}
	call.answer = newAnswerBuffer(formatResumeToken(call.target, call.engineCall.StreamID))
	handedOver = true
	r.tasks.Go(func() {
		defer r.openCalls.Add(-1)
		defer cancel()
		defer r.recoverStream(call.answer, func() { call.finishRequest(fleetpb.Outcome_OUTCOME_CANCELLED) })
		call.copyToAnswer(streamCtx, stream)
	})
	if refusalErr := call.answer.awaitFirstToken(ctx); refusalErr != nil {
		return nil, refusalErr
	}
	return &oas.GenerateOKHeaders{
		CacheControl: oas.NewOptString(cacheControl),
		Response:     oas.GenerateOK{Data: newEventStream(ctx, call.answer, 0)},
	}, nil
}

// newModelCall checks a request and returns the call with its request for the queue.
func (r *Router) newModelCall(
	ctx context.Context, request *oas.GenerateRequest, model string,
) (*modelCall, requestqueue.Request, *refusal.Error) {
	customer := customerFromContext(ctx)
	if refusalErr := r.checkTarget(ctx, model, refusal.UnknownModel); refusalErr != nil {
		return nil, requestqueue.Request{}, refusalErr
	}
	if refusalErr := checkPromptSize(customer, len(request.Prompt)); refusalErr != nil {
		return nil, requestqueue.Request{}, refusalErr
	}
	promptTokens := len(request.Prompt) / bytesPerToken
	prefix := request.Prompt[:min(len(request.Prompt), prefixBytes)]
	queueRequest := requestqueue.Request{
		Customer:     customer.Number,
		Model:        model,
		Class:        request.Class,
		BodyBytes:    len(request.Prompt),
		PromptTokens: promptTokens,
		MaxTokens:    request.MaxTokens.Or(0),
		PrefixHash:   xxhash.Sum64String(prefix),
		Deadline:     request.Deadline.Or(time.Time{}),
	}
	call := &modelCall{
		router:         r,
		customerNumber: customer.Number,
		customerName:   customer.Name,
		fingerprint:    xxhash.Sum64String(strings.Join([]string{customer.Name, model, request.Prompt}, "\x00")),
		promptTokens:   promptTokens,
		engineCall: external.GenerateRequest{
			StreamID:  newStreamID(customer.Number),
			Prompt:    request.Prompt,
			MaxTokens: request.MaxTokens.Or(0),
		},
		deadline:  queueRequest.Deadline,
		decisions: make(chan requestqueue.Decision, 1),
	}
	return call, queueRequest, nil
}

// checkTarget returns a refusal with the given code if no target serves a model or service.
func (r *Router) checkTarget(ctx context.Context, model string, code refusal.Code) *refusal.Error {
	found := false
	err := r.runInLoop(ctx, func(time.Time) { _, found = r.node.View().HomePool(model) })
	if err != nil {
		return refusal.New(refusal.ShuttingDown, err.Error())
	}
	if !found {
		return refusal.Newf(code, "no target serves %q", model)
	}
	return nil
}

// checkPromptSize returns a refusal if a prompt exceeds the customer's limit for the size of a body in bytes.
func checkPromptSize(customer config.ResolvedCustomer, size int) *refusal.Error {
	if int64(size) > customer.Limits.BodyBytes {
		return refusal.Newf(refusal.TooLarge, "the body is larger than %d bytes", customer.Limits.BodyBytes)
	}
	return nil
}

// Resume continues the stream of a call that any router has started; it implements oas.Handler. It is served while the router
// drains, since the stream runs at its target in any case.
func (r *Router) Resume(ctx context.Context, params oas.ResumeParams) (*oas.ResumeOKHeaders, error) {
	target, stream, ok := parseResumeToken(params.Token, customerFromContext(ctx).Number)
	if !ok {
		return nil, refusal.New(refusal.UnknownStream, "the token names no stream of this customer")
	}
	var address string
	if err := r.runInLoop(ctx, func(time.Time) {
		listed, _ := r.node.View().Target(target)
		address = listed.Address
	}); err != nil {
		return nil, refusal.New(refusal.ShuttingDown, err.Error())
	}
	if address == "" {
		return nil, refusal.New(refusal.UnknownStream, "the stream's target has gone").WithExecutionUnknown()
	}
	from := params.From.Or(0)
	upstream, err := r.adapters.Engine(target, address).Resume(ctx, stream, from)
	if err != nil {
		return nil, resumeRefusal(err)
	}
	answer := newAnswerBuffer(params.Token)
	r.openCalls.Add(1)
	r.tasks.Go(func() {
		defer r.openCalls.Add(-1)
		defer r.recoverStream(answer, func() {})
		copyStream(upstream, answer, from)
	})
	return &oas.ResumeOKHeaders{
		CacheControl: oas.NewOptString(cacheControl),
		Response:     oas.ResumeOK{Data: newEventStream(ctx, answer, from)},
	}, nil
}

// resumeRefusal returns the refusal for an error of a target that was asked to resume a stream.
func resumeRefusal(err error) *refusal.Error {
	var rejected *external.RejectedError
	if errors.As(err, &rejected) {
		return refusal.New(refusal.UnknownStream, "the target does not know the stream any more").WithExecutionUnknown()
	}
	refusalErr := refusal.Newf(refusal.TargetFailed, "the target cannot be reached: %v", err)
	return refusalErr.WithExecutionUnknown().WithRetryAt(time.Now().Add(time.Second))
}

// copyStream copies the tokens of a resumed stream, whose first index must be nextIndex, into an answer, and ends the answer
// with the stream. A missing token ends it as incomplete.
func copyStream(from external.Stream, to *answerBuffer, nextIndex int64) {
	defer from.Close() //nolint:errcheck // The stream has been read to its end.
	for {
		token, err := from.Next()
		if err == nil && token.Index == nextIndex {
			nextIndex++
			to.addToken(token)
			continue
		}
		if err == nil {
			err = errTokenMissing
		}
		to.end(streamEndRefusal(err))
		return
	}
}
