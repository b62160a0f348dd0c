package logserver

import "time"

// Option changes a server.
type Option func(*Server)

// WithRate bounds the appends a second of the whole service.
func WithRate(rate int) Option {
	return func(s *Server) { s.bucket = newBucket(rate) }
}

// WithRetention makes records expire at this age.
func WithRetention(age time.Duration) Option {
	return func(s *Server) { s.retention = age }
}
