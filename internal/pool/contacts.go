package pool

import "github.com/chicorydale/chicorydale/internal/share"

// Contacts returns the routers that this scheduler sends to by itself: the owners of the customer shards of its models
// and the schedulers of neighbouring pools. A router may be named more than once.
func (s *Scheduler) Contacts() []string {
	var contacts []string
	asked := make(map[string]bool)
	for _, row := range s.sorted() {
		for _, next := range s.around[row.name] {
			contacts = append(contacts, next.host)
		}
		if asked[row.pool.Model] {
			continue
		}
		asked[row.pool.Model] = true
		for shard := range s.shards {
			contacts = append(contacts, share.OwnerOf(s.view, row.pool.Model, shard))
		}
	}
	return contacts
}
