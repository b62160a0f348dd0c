package serviceserver

// BookingList are the effects of a replica.
type BookingList struct {
	// Bookings are the executions in their order.
	Bookings []Booking `json:"bookings"`
	// CountByKey is the number of executions for each key.
	CountByKey map[string]int `json:"counts"`
}

// NewBookings returns executions with their counts.
func NewBookings(bookings []Booking) BookingList {
	all := BookingList{Bookings: bookings, CountByKey: make(map[string]int)}
	for _, booking := range bookings {
		all.CountByKey[booking.Key]++
	}
	return all
}
