package overload

// Standing tells what a customer has got of a service at all routers, compared with its fair share.
type Standing int

// What a customer has got.
const (
	// WithinShare means about its share, or that nothing is known.
	WithinShare Standing = iota
	// BelowShare means far less than its share.
	BelowShare
	// AboveShare means more than its share while requests of others compete for the capacity.
	AboveShare
)
