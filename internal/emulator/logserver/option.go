package logserver

import "time"

// Option changes a server.
type Option func(*Server)

// WithAppendRate bounds the appends a second of the whole service.
func WithAppendRate(rate int) Option {
	return func(s *Server) { s.bucket = newBucket(rate) }
}

// WithRetention makes records expire at this age.
func WithRetention(age time.Duration) Option {
	return func(s *Server) { s.retention = age }
}
