package engineserver

import "time"

// Option changes a server.
type Option func(*Server)

// WithStreamRetention keeps streams that ended for this long.
func WithStreamRetention(keep time.Duration) Option {
	return func(s *Server) { s.keep = keep }
}

// WithReportLag makes load reports lag by this long.
func WithReportLag(delay time.Duration) Option {
	return func(s *Server) { s.lag = delay }
}

// WithCrashWord makes the engine crash when it begins to run a prompt that contains word: crash is called, which may end
// the process. If crash returns, or is nil, the engine goes on as Crash leaves it.
func WithCrashWord(word string, crash func()) Option {
	return func(s *Server) { s.crashWord, s.crash = word, crash }
}
