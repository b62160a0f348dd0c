package router

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/settings"
)

// PanicInLoop runs an action that panics and then another one in a loop like the tick loop. It returns the text of the panic
// that the caller of runInLoop recovered, "none" if the first action did not panic in its caller, or an empty string if the
// second action failed.
func PanicInLoop(ctx context.Context) (recovered string) {
	r := New(settings.Settings{}, Adapters{}, zerolog.Nop())
	go func() {
		for range 2 {
			action := <-r.loopActions
			action(time.Time{})
		}
	}()
	defer func() {
		if failure, ok := recover().(*panicError); ok && r.runInLoop(ctx, func(time.Time) {}) == nil {
			recovered = failure.Error()
		}
	}()
	_ = r.runInLoop(ctx, func(time.Time) { panic("action") })
	return "none"
}
