package serviceserver

// BookingList is the response to GET /bookings.
type BookingList struct {
	// Bookings are the executions of the operation book in the order in which they took effect.
	Bookings []Booking `json:"bookings"`
	// CountByKey is the number of executions for each idempotency key.
	CountByKey map[string]int `json:"counts"`
}

// NewBookingList returns the bookings with their number for each key. It does not copy the slice.
func NewBookingList(bookings []Booking) BookingList {
	list := BookingList{Bookings: bookings, CountByKey: make(map[string]int)}
	for _, booking := range bookings {
		list.CountByKey[booking.Key]++
	}
	return list
}
