package serviceserver

import (
	"io"
	"time"
)

// Option changes a server.
type Option func(*Server)

// WithSlots runs this number of operations at the same time; more wait.
func WithSlots(slots int) Option {
	return func(s *Server) { s.slots = slots }
}

// WithOperationDuration makes each operation take this long before its effect.
func WithOperationDuration(work time.Duration) Option {
	return func(s *Server) { s.work = work }
}

// WithReportLag makes load reports lag by this long.
func WithReportLag(delay time.Duration) Option {
	return func(s *Server) { s.lag = delay }
}

// WithFencing refuses a fence that is older than the newest one seen with the same key.
func WithFencing() Option {
	return func(s *Server) { s.fencing = true }
}

// WithLedger writes each booking to w as one JSON line, so that it outlives the process.
func WithLedger(w io.Writer) Option {
	return func(s *Server) { s.ledger = w }
}

// WithBookings starts with the bookings of an earlier process.
func WithBookings(bookings []Booking) Option {
	return func(s *Server) { s.bookings = bookings }
}

// WithCrashWord calls crash after the effect of an operation that has an argument equal to word, and loses its answer.
func WithCrashWord(word string, crash func()) Option {
	return func(s *Server) { s.crashWord, s.crash = word, crash }
}
