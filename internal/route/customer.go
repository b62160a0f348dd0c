package route

// Customer is the holder of keys.
type Customer struct {
	// Name identifies the customer.
	Name string
	// APIKeys are the customer's valid keys.
	APIKeys []string
	// Priority takes precedence over that of the route; 0 is the highest. It counts only if Ranked is set.
	Priority int
	// HasPriority tells whether the customer has a priority of its own.
	HasPriority bool
}
