package route

// Split assigns a share of a route's requests to one service.
type Split struct {
	// Service is the name of the service.
	Service string
	// Weight is the share relative to the weights of the other splits. A split of weight zero gets no requests.
	Weight int
}
