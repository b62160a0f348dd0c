package serviceserver

// Bookings are the effects of a replica.
type Bookings struct {
	// Bookings are the executions in their order.
	Bookings []Booking `json:"bookings"`
	// Counts is the number of executions for each key.
	Counts map[string]int `json:"counts"`
}

// NewBookings returns executions with their counts.
func NewBookings(bookings []Booking) Bookings {
	all := Bookings{Bookings: bookings, Counts: make(map[string]int)}
	for _, booking := range bookings {
		all.Counts[booking.Key]++
	}
	return all
}
