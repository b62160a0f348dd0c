package hostserver

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/emulator/lag"
)

// Option changes a server.
type Option func(*Server)

// WithLag delays each change of the list by this long.
func WithLag(delay time.Duration) Option {
	return func(s *Server) { s.pending = lag.NewQueue[change](delay) }
}
