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

// handler returns the HTTP handler for callers and operators.
func (r *Router) handler() (http.Handler, error) {
	server, err := oas.NewServer(r, r, oas.WithNotFound(r.notFound),
		oas.WithMethodNotAllowed(r.notAllowed), oas.WithErrorHandler(r.writeError))
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

// notFound answers a path that the interface does not have.
func (r *Router) notFound(w http.ResponseWriter, request *http.Request) {
	refused := refusal.Newf(refusal.Malformed, "there is no %s", request.URL.Path)
	r.count(request.Context(), refused)
	writeRefusal(w, refused)
}

// notAllowed answers a method that a path does not have.
func (r *Router) notAllowed(w http.ResponseWriter, request *http.Request, allowed string) {
	refused := refusal.Newf(refusal.Malformed, "%s takes %s", request.URL.Path, allowed)
	r.count(request.Context(), refused)
	writeRefusal(w, refused)
}

// writeError answers a request that the generated code could not take apart, or whose answer it could not write. The
// latter means that the caller has gone, which is no refusal.
func (r *Router) writeError(ctx context.Context, w http.ResponseWriter, request *http.Request, err error) {
	if request.Context().Err() != nil {
		return
	}
	refused := asRefusal(err)
	if strings.HasPrefix(request.URL.Path, "/v1/services/") && request.Header.Get("Idempotency-Key") != "" {
		refused = refused.WithExecutionUnknown()
	}
	r.count(ctx, refused)
	writeRefusal(w, refused)
}

// writeRefusal writes a refusal.
func writeRefusal(w http.ResponseWriter, refused *refusal.Error) {
	encoded, err := encodeRefusal(refused).Response.MarshalJSON()
	if err != nil {
		encoded = []byte("{}")
	}
	if !refused.RetryAt.IsZero() {
		w.Header().Set("Retry-After", retryAfter(refused.RetryAt))
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(refused.Code.Status())
	_, _ = w.Write(encoded) // The caller may be gone.
}

// NewError returns the HTTP form of an error of a handler; it implements oas.Handler.
func (r *Router) NewError(ctx context.Context, err error) *oas.RefusalStatusCode {
	refused := asRefusal(err)
	r.count(ctx, refused)
	return encodeRefusal(refused)
}

// count counts and logs a refusal.
func (r *Router) count(ctx context.Context, refused *refusal.Error) {
	r.metrics.CountRefusal(refused.Code)
	event.Refused.Log(r.logger, string(refused.Code), customer(ctx).Name, refused.Message)
}

// asRefusal returns the refusal that an error stands for.
func asRefusal(err error) *refusal.Error {
	var refused *refusal.Error
	if errors.As(err, &refused) {
		return refused
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal.Newf(refusal.TooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	var security *ogenerrors.SecurityError
	if errors.As(err, &security) {
		return refusal.New(refusal.Unauthenticated, "the request needs a key")
	}
	var parameters *ogenerrors.DecodeParamsError
	var body *ogenerrors.DecodeRequestError
	if errors.As(err, &parameters) || errors.As(err, &body) {
		return refusal.New(refusal.Malformed, err.Error())
	}
	return refusal.New(refusal.Internal, err.Error()).WithExecutionUnknown()
}

// admit returns the refusal of a new call while the router takes none, or nil.
func (r *Router) admit(ctx context.Context) *refusal.Error {
	if r.draining.Load() {
		return refusal.New(refusal.ShuttingDown, "the router is shutting down").WithRetryAt(time.Now())
	}
	var isolated bool
	if err := r.do(ctx, func(now time.Time) { isolated = r.node.Store().Isolated(now) }); err != nil {
		return refusal.New(refusal.ShuttingDown, err.Error())
	}
	if isolated {
		refused := refusal.New(refusal.Isolated, "the router reaches neither the log nor another router")
		return refused.WithRetryAt(time.Now().Add(time.Second))
	}
	return nil
}
