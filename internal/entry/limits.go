package entry

// Limits bounds what one customer may have open at one router. Zero means no limit.
type Limits struct {
	// Waiting is the number of waiting requests.
	Waiting int
	// Bytes is the sum of the bodies of waiting requests.
	Bytes int
	// Connections is the number of open requests, waiting and running.
	Connections int
}
