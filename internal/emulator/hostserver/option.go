package hostserver

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/emulator/delayqueue"
)

// Option configures a Server.
type Option func(*Server)

// WithLag sets the time after which a change appears in the published list.
func WithLag(delay time.Duration) Option {
	return func(s *Server) { s.pending = delayqueue.NewQueue[change](delay) }
}
