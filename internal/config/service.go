package config

import "maps"

// Service describes a back-end service that callers invoke by operation.
type Service struct {
	// Name is unique among the services.
	Name string `json:"name"`
	// Operations maps the name of each operation to whether it is idempotent.
	Operations map[string]bool `json:"operations"`
}

// entryName implements namedEntry.
func (s *Service) entryName() string { return s.Name }

// clone returns a deep copy.
func (s Service) clone() *Service {
	s.Operations = maps.Clone(s.Operations)
	return &s
}
