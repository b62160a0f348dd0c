package route

// Customer is a customer that may call the routes, identified by its API keys.
type Customer struct {
	// Name identifies the customer.
	Name string
	// APIKeys are the customer's valid API keys.
	APIKeys []string
	// Priority replaces the priority of the route if HasPriority is set; 0 is the highest.
	Priority int
	// HasPriority reports whether the customer has a priority of its own.
	HasPriority bool
}
