package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/route"
)

// admit reads the request and finds its route, customer and service. It returns a refusal if the request cannot be served.
func (x *exchange) admit() *refusal.Error {
	info, refusalErr := x.gateway.adapters.Codec.ParseRequest(x.r, x.arrivedAt)
	x.info = info
	if refusalErr != nil {
		return refusalErr
	}
	table := x.gateway.config.Table()
	if table == nil {
		return refusal.New(refusal.Isolated, "no configuration was read yet").WithRetryAt(x.arrivedAt.Add(retryAfter))
	}
	x.stats.configVersion = table.Version()
	matched, ok := table.Match(x.r.Host, x.r.URL.EscapedPath())
	if !ok {
		return refusal.New(refusal.UnknownRoute, "no route matches the host and path")
	}
	x.route, x.priority = matched, matched.Priority
	if refusalErr := x.authenticate(table); refusalErr != nil {
		return refusalErr
	}
	x.deadline = requestDeadline(matched, info, x.arrivedAt)
	x.answerDeadline = x.deadline.Add(x.readDelay())
	if conn := callerConnOf(x.r.Context()); conn != nil {
		conn.requestParsed(info.ID, callerDeadline(info, x.deadline).Add(x.readDelay()), x.readDelay())
	}
	if refusalErr := x.readBody(table.Limits().MaxBodyBytes); refusalErr != nil {
		return refusalErr
	}
	x.service = matched.SelectService(affinityKey(&x.info))
	if x.service == "" {
		return refusal.New(refusal.NoTarget, "the route has no service").WithRetryAt(x.arrivedAt.Add(retryAfter))
	}
	return nil
}

// requestDeadline returns the time by which a request that arrived at the given time must be answered: that of its caller or that of its
// route, whichever is earlier.
func requestDeadline(matched *route.Route, info RequestInfo, arrivedAt time.Time) time.Time {
	return earlier(info.Deadline, arrivedAt.Add(matched.Timeout))
}

// callerDeadline returns the time until which the caller of a request waits, given the deadline of the request: that of its route may be earlier.
func callerDeadline(info RequestInfo, deadline time.Time) time.Time {
	if info.Deadline.IsZero() {
		return deadline
	}
	return info.Deadline
}

// affinityKey returns the key by which all requests of a session go to the same service: the last shared part of the
// prompt, which belongs to the session, or the ID of the request.
func affinityKey(info *RequestInfo) uint64 {
	if len(info.PromptParts) > 0 {
		return info.PromptParts[len(info.PromptParts)-1].ID
	}
	return xxhash.Sum64String(info.ID)
}

// authenticate finds the customer of the request. It accepts API keys only while the configuration is recent enough for
// revoked keys to be known.
func (x *exchange) authenticate(table *route.Table) *refusal.Error {
	fresh := x.gateway.config.fresh()
	customer, known := table.CustomerByKey(x.info.APIKey)
	if x.route.AllowAnonymous {
		if known && fresh {
			x.customer = customer.Name
		}
		return nil
	}
	switch {
	case !fresh:
		return refusal.New(refusal.Isolated, "the configuration is too old to check the key").
			WithRetryAt(x.arrivedAt.Add(retryAfter))
	case !known:
		return refusal.New(refusal.Unauthenticated, "the key is missing or unknown")
	}
	x.customer = customer.Name
	if customer.HasPriority {
		x.priority = customer.Priority
	}
	return nil
}

// readBody reads the whole body, because a request is sent to a target only when it is complete.
func (x *exchange) readBody(maxBytes int64) *refusal.Error {
	if x.r.Body == http.NoBody || x.r.ContentLength == 0 {
		return nil
	}
	if x.r.ContentLength > maxBytes {
		return refusal.Newf(refusal.TooLarge, "the body is larger than %d bytes", maxBytes)
	}
	if err := x.controller.SetReadDeadline(x.deadline); err != nil {
		return refusal.New(refusal.Internal, "the connection takes no deadline")
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.bodyMemoryDeadline())
	defer cancel()
	body, err := x.bodyReader(maxBytes).readAll(ctx)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusal.Newf(refusal.TooLarge, "the body is larger than %d bytes", maxBytes)
	case errors.Is(err, errNoBodyMemory):
		return refusal.New(refusal.Overloaded, "there is no memory for the body").WithRetryAt(time.Now().Add(retryAfter))
	case isTimeout(err):
		return refusal.New(refusal.BodyLate, "the body did not arrive in time")
	case err != nil:
		return refusal.New(refusal.Malformed, "the body is not complete")
	}
	x.body = body
	if err := x.controller.SetReadDeadline(time.Time{}); err != nil {
		return refusal.New(refusal.Internal, "the connection takes no deadline")
	}
	return nil
}

// bodyReader returns the reader of the body, which has at most maxBytes.
func (x *exchange) bodyReader(maxBytes int64) *bodyReader {
	x.bodyMemory = x.gateway.bodies.Open(x.customer)
	reader := &bodyReader{source: http.MaxBytesReader(x.w, x.r.Body, maxBytes), maxBytes: maxBytes, reservation: x.bodyMemory}
	if x.r.ContentLength >= 0 {
		reader.maxBytes, reader.announced = x.r.ContentLength, true
	}
	return reader
}

// minBodyMemoryWait is how long a body may wait for memory at least, if its request has that much time.
const minBodyMemoryWait = time.Second

// bodyMemoryDeadline returns the time until which the body may wait for memory: long enough for a burst to pass, with half of the
// request's time left to serve it.
func (x *exchange) bodyMemoryDeadline() time.Time {
	halfway := x.arrivedAt.Add(x.deadline.Sub(x.arrivedAt) / 2)
	return earlier(halfway, x.arrivedAt.Add(max(x.route.LatencyObjective, minBodyMemoryWait)))
}

// releaseBody gives the memory of the body back.
func (x *exchange) releaseBody() {
	x.body = nil
	if x.bodyMemory != nil {
		x.bodyMemory.Release()
	}
}
