package engineserver

import "time"

// Option changes a server.
type Option func(*Server)

// WithKeep keeps streams that ended for this long.
func WithKeep(keep time.Duration) Option {
	return func(s *Server) { s.keep = keep }
}

// WithLag makes load reports lag by this long.
func WithLag(delay time.Duration) Option {
	return func(s *Server) { s.lag = delay }
}

// WithCrash makes the engine crash when it begins to run a prompt that contains word: crash is called, which may end
// the process. If crash returns, or is nil, the engine goes on as Crash leaves it.
func WithCrash(word string, crash func()) Option {
	return func(s *Server) { s.crashWord, s.crash = word, crash }
}
