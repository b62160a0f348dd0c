package router

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// panicError is a recovered panic with the stack of the goroutine in which it began.
type panicError struct {
	value any
	stack string
}

// Error returns the text of the panic's value.
func (p *panicError) Error() string { return fmt.Sprint(p.value) }

// asPanicError wraps a recovered value with the current stack. A value that is a *panicError already keeps the stack of the
// first panic.
func asPanicError(value any) *panicError {
	if earlier, ok := value.(*panicError); ok {
		return earlier
	}
	return &panicError{value: value, stack: string(debug.Stack())}
}

// refusePanic logs a panic and returns the refusal of the call in which it occurred. The call may have run.
func (r *Router) refusePanic(panicErr *panicError) *refusal.Error {
	event.Panicked.Log(r.logger, panicErr, panicErr.stack)
	return refusal.New(refusal.Internal, "a fault of the router").WithExecutionUnknown()
}

// recoverCall must be deferred by the HTTP handler. It responds to a request whose handler panicked. If the response has
// begun, it closes the connection instead, so that the caller sees that the response is incomplete.
func (r *Router) recoverCall(w *flushWriter, request *http.Request) {
	value := recover()
	if value == nil {
		return
	}
	refusalErr := r.refusePanic(asPanicError(value))
	r.recordRefusal(request.Context(), refusalErr)
	if w.started {
		panic(http.ErrAbortHandler)
	}
	writeRefusal(w, refusalErr)
}

// onPanic must be deferred. It runs an action if the surrounding function panics, and continues the panic.
func onPanic(action func()) {
	if value := recover(); value != nil {
		panicErr := asPanicError(value)
		action()
		panic(panicErr)
	}
}

// recoverStream must be deferred by a goroutine that adds the tokens of a call to its answer. After a panic, it ends the
// answer with a refusal and calls finish.
func (r *Router) recoverStream(answer *answerBuffer, finish func()) {
	value := recover()
	if value == nil {
		return
	}
	refusalErr := r.refusePanic(asPanicError(value))
	r.recordRefusal(context.Background(), refusalErr)
	answer.end(refusalErr)
	finish()
}
