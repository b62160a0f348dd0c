package config

import "maps"

// Service is a plain service with its operations.
type Service struct {
	// Name is unique among the services.
	Name string `json:"name"`
	// Operations tells for each operation whether it is idempotent.
	Operations map[string]bool `json:"operations"`
}

// key returns the name.
func (s *Service) key() string { return s.Name }

// clone returns a copy that shares nothing.
func (s Service) clone() *Service {
	s.Operations = maps.Clone(s.Operations)
	return &s
}
