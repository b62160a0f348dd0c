package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/route"
)

// admit reads the request and finds its route, customer and service. The refusal is that of a request that cannot be
// served.
func (x *exchange) admit() *refusal.Error {
	call, refused := x.gateway.outside.Codec.ParseRequest(x.r, x.arrived)
	x.call = call
	if refused != nil {
		return refused
	}
	table := x.gateway.config.Table()
	if table == nil {
		return refusal.New(refusal.Isolated, "no configuration was read yet").WithRetry(x.arrived.Add(comeBack))
	}
	x.record.version = table.Version()
	found, ok := table.Match(x.r.Host, x.r.URL.EscapedPath())
	if !ok {
		return refusal.New(refusal.UnknownRoute, "no route matches the host and path")
	}
	x.route, x.priority = found, found.Priority
	if refused := x.authenticate(table); refused != nil {
		return refused
	}
	x.end = x.arrived.Add(found.Timeout)
	if !call.Deadline.IsZero() && call.Deadline.Before(x.end) {
		x.end = call.Deadline
	}
	if refused := x.read(table.Limits().MaxBodyBytes); refused != nil {
		return refused
	}
	x.service = found.SelectService(x.affinity())
	if x.service == "" {
		return refusal.New(refusal.NoTarget, "the route has no service").WithRetry(x.arrived.Add(comeBack))
	}
	return nil
}

// affinity returns the key by which requests of a session go to the same service.
func (x *exchange) affinity() uint64 {
	if len(x.call.PromptParts) > 0 {
		return x.call.PromptParts[len(x.call.PromptParts)-1].ID
	}
	return xxhash.Sum64String(x.call.ID)
}

// authenticate finds the customer. Keys are accepted only while a revocation cannot have been missed for too long.
func (x *exchange) authenticate(table *route.Table) *refusal.Error {
	fresh := x.gateway.config.fresh()
	customer, known := table.CustomerByKey(x.call.APIKey)
	if x.route.AllowAnonymous {
		if known && fresh {
			x.customer = customer.Name
		}
		return nil
	}
	switch {
	case !fresh:
		return refusal.New(refusal.Isolated, "the configuration is too old to check the key").
			WithRetry(x.arrived.Add(comeBack))
	case !known:
		return refusal.New(refusal.Unauthenticated, "the key is missing or unknown")
	}
	x.customer = customer.Name
	if customer.HasPriority {
		x.priority = customer.Priority
	}
	return nil
}

// read reads the whole body. A request is sent to a target only when it is complete.
func (x *exchange) read(limit int64) *refusal.Error {
	if x.r.Body == http.NoBody || x.r.ContentLength == 0 {
		return nil
	}
	if x.r.ContentLength > limit {
		return refusal.Newf(refusal.TooLarge, "the body is larger than %d bytes", limit)
	}
	if err := x.control.SetReadDeadline(x.end); err != nil {
		return refusal.New(refusal.Internal, "the connection takes no deadline")
	}
	body, err := readAll(http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusal.Newf(refusal.TooLarge, "the body is larger than %d bytes", limit)
	case isTimeout(err):
		return refusal.New(refusal.BodyLate, "the body did not arrive in time")
	case err != nil:
		return refusal.New(refusal.Malformed, "the body is not complete")
	}
	x.body = body
	if err := x.control.SetReadDeadline(time.Time{}); err != nil {
		return refusal.New(refusal.Internal, "the connection takes no deadline")
	}
	return nil
}

// readAll reads a body whose length is known, or -1.
func readAll(body io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(body)
	}
	// One more byte lets the last read see the end of the body, after which the server notices that a caller leaves.
	buffer := make([]byte, length+1)
	n, err := io.ReadFull(body, buffer)
	if errors.Is(err, io.ErrUnexpectedEOF) && int64(n) == length {
		return buffer[:n], nil
	}
	if err == nil {
		err = io.ErrShortBuffer
	}
	return nil, err
}
