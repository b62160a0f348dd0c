package requestqueue

// Customer holds the admission limits and the request classes of one customer.
type Customer struct {
	// Limits bound the customer's open requests at this router.
	Limits Limits
	// Classes maps the names of the customer's request classes to their parameters. Submit refuses other classes.
	Classes map[string]Class
}
