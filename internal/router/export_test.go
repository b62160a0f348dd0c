package router

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/settings"
)

// PanicInLoop runs an action that panics in a tick loop and one after it. It returns what the first caller recovered.
func PanicInLoop(ctx context.Context) (recovered string) {
	r := New(settings.Settings{}, Adapters{}, zerolog.Nop())
	go func() {
		for range 2 {
			action := <-r.actions
			action(time.Time{})
		}
	}()
	defer func() {
		if failure, ok := recover().(*panicked); ok && r.do(ctx, func(time.Time) {}) == nil {
			recovered = failure.Error()
		}
	}()
	_ = r.do(ctx, func(time.Time) { panic("action") })
	return "none"
}
