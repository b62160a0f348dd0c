package route

// Service is a group of targets that do the same work.
type Service struct {
	// Name identifies the service.
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the number of connections that one target accepts from all routers together.
	MaxConnections int
	// HasEngines tells whether the targets are model engines.
	HasEngines bool
	// KVCapacityTokens is the number of tokens that one engine holds; zero if the service has no engines.
	KVCapacityTokens int
}
