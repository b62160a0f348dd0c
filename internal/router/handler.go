package router

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/oas"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// apiHandler returns the handler of the HTTP interface for callers and operators.
func (r *Router) apiHandler() (http.Handler, error) {
	server, err := oas.NewServer(r, r, oas.WithNotFound(r.notFound),
		oas.WithMethodNotAllowed(r.methodNotAllowed), oas.WithErrorHandler(r.writeError))
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		request.Body = http.MaxBytesReader(w, request.Body, r.settings.MaxBodyBytes())
		writer := newFlushWriter(w)
		defer r.recoverCall(writer, request)
		server.ServeHTTP(writer, request)
	}), nil
}

// notFound responds to a request whose path is not part of the interface.
func (r *Router) notFound(w http.ResponseWriter, request *http.Request) {
	refusalErr := refusal.Newf(refusal.Malformed, "there is no %s", request.URL.Path)
	r.recordRefusal(request.Context(), refusalErr)
	writeRefusal(w, refusalErr)
}

// methodNotAllowed responds to a request whose method the path does not support; allowed lists the supported ones.
func (r *Router) methodNotAllowed(w http.ResponseWriter, request *http.Request, allowed string) {
	refusalErr := refusal.Newf(refusal.Malformed, "%s takes %s", request.URL.Path, allowed)
	r.recordRefusal(request.Context(), refusalErr)
	writeRefusal(w, refusalErr)
}

// writeError responds to a request that the generated code could not decode, or whose response it could not write. If the
// caller has disconnected, it writes and counts nothing. With an Idempotency-Key, an earlier request may have run, so the
// refusal of a service call says that it is unknown whether the call ran.
func (r *Router) writeError(ctx context.Context, w http.ResponseWriter, request *http.Request, err error) {
	if request.Context().Err() != nil {
		return
	}
	refusalErr := asRefusal(err)
	if strings.HasPrefix(request.URL.Path, "/v1/services/") && request.Header.Get("Idempotency-Key") != "" {
		refusalErr = refusalErr.WithExecutionUnknown()
	}
	r.recordRefusal(ctx, refusalErr)
	writeRefusal(w, refusalErr)
}

// writeRefusal writes a refusal as the whole response, with a Retry-After header if the refusal gives an instant.
func writeRefusal(w http.ResponseWriter, refusalErr *refusal.Error) {
	encoded, err := encodeRefusal(refusalErr).Response.MarshalJSON()
	if err != nil {
		encoded = []byte("{}")
	}
	if !refusalErr.RetryAt.IsZero() {
		w.Header().Set("Retry-After", retryAfter(refusalErr.RetryAt))
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(refusalErr.Code.Status())
	_, _ = w.Write(encoded) // The caller may have disconnected.
}

// NewError counts, logs and encodes the error that an operation has returned; it implements oas.Handler.
func (r *Router) NewError(ctx context.Context, err error) *oas.RefusalStatusCode {
	refusalErr := asRefusal(err)
	r.recordRefusal(ctx, refusalErr)
	return encodeRefusal(refusalErr)
}

// recordRefusal counts and logs a refusal, with the customer of the context if there is one.
func (r *Router) recordRefusal(ctx context.Context, refusalErr *refusal.Error) {
	r.metrics.CountRefusal(refusalErr.Code)
	event.Refused.Log(r.logger, string(refusalErr.Code), customerFromContext(ctx).Name, refusalErr.Message)
}

// asRefusal returns the refusal that an error wraps, or one that describes an error of the generated code. Any other error is
// an internal one, after which the call may have run.
func asRefusal(err error) *refusal.Error {
	var refusalErr *refusal.Error
	if errors.As(err, &refusalErr) {
		return refusalErr
	}
	var sizeErr *http.MaxBytesError
	if errors.As(err, &sizeErr) {
		return refusal.Newf(refusal.TooLarge, "the body is larger than %d bytes", sizeErr.Limit)
	}
	var securityErr *ogenerrors.SecurityError
	if errors.As(err, &securityErr) {
		return refusal.New(refusal.Unauthenticated, "the request needs a key")
	}
	var paramsErr *ogenerrors.DecodeParamsError
	var bodyErr *ogenerrors.DecodeRequestError
	if errors.As(err, &paramsErr) || errors.As(err, &bodyErr) {
		return refusal.New(refusal.Malformed, err.Error())
	}
	return refusal.New(refusal.Internal, err.Error()).WithExecutionUnknown()
}

// checkAdmission returns a refusal if the router accepts no new calls: while it drains, and while it is isolated from the
// log and from all other routers.
func (r *Router) checkAdmission(ctx context.Context) *refusal.Error {
	if r.draining.Load() {
		return refusal.New(refusal.ShuttingDown, "the router is shutting down").WithRetryAt(time.Now())
	}
	var isolated bool
	if err := r.runInLoop(ctx, func(now time.Time) { isolated = r.node.Store().Isolated(now) }); err != nil {
		return refusal.New(refusal.ShuttingDown, err.Error())
	}
	if isolated {
		refusalErr := refusal.New(refusal.Isolated, "the router reaches neither the log nor another router")
		return refusalErr.WithRetryAt(time.Now().Add(time.Second))
	}
	return nil
}
