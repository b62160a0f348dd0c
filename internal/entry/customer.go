package entry

// Customer holds the parameters of one customer that the queue needs.
type Customer struct {
	// Limits are the flood limits at this router.
	Limits Limits
	// Classes are the customer's classes of requests by name.
	Classes map[string]Class
}
