package logserver

import "time"

// Option configures a Server.
type Option func(*Server)

// WithAppendRate sets the maximum number of appends per second to all streams together.
func WithAppendRate(rate int) Option {
	return func(s *Server) { s.appendLimiter = newTokenBucket(rate) }
}

// WithRetention sets the age at which records expire.
func WithRetention(age time.Duration) Option {
	return func(s *Server) { s.retention = age }
}
