package engineserver

import "time"

// Option configures a Server.
type Option func(*Server)

// WithStreamRetention sets the time for which a stream can be resumed after it ended.
func WithStreamRetention(retention time.Duration) Option {
	return func(s *Server) { s.streamRetention = retention }
}

// WithReportLag sets the time by which load reports lag behind the actual load.
func WithReportLag(lag time.Duration) Option {
	return func(s *Server) { s.reportLag = lag }
}

// WithCrashWord makes the engine crash when it begins to run a prompt that contains word. It calls onCrash, which may end the
// process. If onCrash is nil or returns, the engine calls Crash and continues.
func WithCrashWord(word string, onCrash func()) Option {
	return func(s *Server) { s.crashWord, s.onCrash = word, onCrash }
}
