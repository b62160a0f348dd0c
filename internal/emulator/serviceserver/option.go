package serviceserver

import (
	"io"
	"time"
)

// Option configures a Server.
type Option func(*Server)

// WithSlots sets the number of operations that run at the same time. Further operations wait for a free slot.
func WithSlots(slots int) Option {
	return func(s *Server) { s.slots = slots }
}

// WithOperationDuration sets the time that each operation takes before its effect.
func WithOperationDuration(duration time.Duration) Option {
	return func(s *Server) { s.operationDuration = duration }
}

// WithReportLag sets the time by which load reports lag behind the actual load.
func WithReportLag(lag time.Duration) Option {
	return func(s *Server) { s.reportLag = lag }
}

// WithFencing makes the target reject a call whose fencing number is lower than the highest one seen with the same key.
func WithFencing() Option {
	return func(s *Server) { s.fencing = true }
}

// WithLedger writes each booking to w as one line of JSON, so that it outlives the process. The caller closes w.
func WithLedger(w io.Writer) Option {
	return func(s *Server) { s.ledger = w }
}

// WithInitialBookings restores the bookings of an earlier process. The server owns the slice.
func WithInitialBookings(bookings []Booking) Option {
	return func(s *Server) { s.bookings = bookings }
}

// WithCrashWord calls onCrash after the effect of an operation that has an argument equal to word. If onCrash is nil or
// returns, the connection is closed without a response.
func WithCrashWord(word string, onCrash func()) Option {
	return func(s *Server) { s.crashWord, s.onCrash = word, onCrash }
}
