package pool

import "github.com/chicorydale/chicorydale/internal/accounting"

// Contacts returns the routers to which this scheduler sends messages without being asked: the owners of the customer shards
// of its models and the schedulers of neighbouring pools. The result may contain duplicates.
func (s *Scheduler) Contacts() []string {
	var contacts []string
	seenModels := make(map[string]bool)
	for _, ps := range s.sortedPools() {
		for _, n := range s.neighbours[ps.name] {
			contacts = append(contacts, n.host)
		}
		if seenModels[ps.pool.Model] {
			continue
		}
		seenModels[ps.pool.Model] = true
		for shard := range s.shardCount {
			contacts = append(contacts, accounting.OwnerOf(s.view, ps.pool.Model, shard))
		}
	}
	return contacts
}
