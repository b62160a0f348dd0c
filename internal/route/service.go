package route

// Service is a group of interchangeable targets.
type Service struct {
	// Name identifies the service.
	Name string
	// HealthPath is the URL path of the health check.
	HealthPath string
	// MaxConnections is the number of connections that one target accepts from all routers together.
	MaxConnections int
	// HasEngines reports whether the targets are model engines.
	HasEngines bool
	// KVCapacityTokens is the number of tokens that fit into the KV cache of one engine. It is zero if the targets are not
	// engines.
	KVCapacityTokens int
}
