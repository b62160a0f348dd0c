package router

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// panicked is a panic with the stack of the goroutine where it began.
type panicked struct {
	value any
	stack string
}

// Error returns the value of the panic.
func (p *panicked) Error() string { return fmt.Sprint(p.value) }

// asPanicked returns a recovered value with its stack. A panic that was caught before keeps its first stack.
func asPanicked(value any) *panicked {
	if earlier, again := value.(*panicked); again {
		return earlier
	}
	return &panicked{value: value, stack: string(debug.Stack())}
}

// refuse logs a panic and returns the refusal of its call. A part of the call may have run.
func (r *Router) refuse(failure *panicked) *refusal.Error {
	event.Panicked.Log(r.logger, failure, failure.stack)
	return refusal.New(refusal.Internal, "a fault of the router").WithExecutionUnknown()
}

// recoverCall is deferred by the HTTP handler. It answers a call that panicked, or breaks its connection if the answer
// has begun, so that the caller sees that it is not whole.
func (r *Router) recoverCall(w *flushWriter, request *http.Request) {
	value := recover()
	if value == nil {
		return
	}
	refused := r.refuse(asPanicked(value))
	r.count(request.Context(), refused)
	if w.started {
		panic(http.ErrAbortHandler)
	}
	writeRefusal(w, refused)
}

// onPanic is deferred. If its function panics, it runs an action and lets the panic go on.
func onPanic(action func()) {
	if value := recover(); value != nil {
		failure := asPanicked(value)
		action()
		panic(failure)
	}
}

// recoverStream is deferred by the goroutine that fills an answer. It ends the answer of a call that panicked.
func (r *Router) recoverStream(a *answer, finish func()) {
	value := recover()
	if value == nil {
		return
	}
	refused := r.refuse(asPanicked(value))
	r.count(context.Background(), refused)
	a.end(refused)
	finish()
}
