package share

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

// sum is the state of one owned shard.
type sum struct {
	totals  map[uint32]*total
	sources map[sourceKey]*source
}

// newSum returns an empty shard.
func newSum() *sum {
	return &sum{totals: make(map[uint32]*total), sources: make(map[sourceKey]*source)}
}

// add takes over a report.
func (s *sum) add(now time.Time, key sourceKey, accounts []*fleetpb.Account) {
	from, ok := s.sources[key]
	if !ok {
		from = &source{seen: make(map[uint32]uint64), asked: make(map[uint32]struct{})}
		s.sources[key] = from
	}
	from.heard = now
	for _, entry := range accounts {
		s.count(now, from, entry)
		from.asked[entry.GetCustomer()] = struct{}{}
	}
}

// count adds the growth of one account. The first report of an account adds nothing: its service before that may be
// part of the total already, through another scheduler's floor.
func (s *sum) count(now time.Time, from *source, entry *fleetpb.Account) {
	customer := entry.GetCustomer()
	sum, ok := s.totals[customer]
	if !ok {
		sum = &total{}
		s.totals[customer] = sum
	}
	sum.heard = now
	seen, known := from.seen[customer]
	if known && entry.GetServed() < seen {
		return
	}
	if known {
		sum.units += entry.GetServed() - seen
	}
	sum.units = max(sum.units, entry.GetFloor())
	from.seen[customer] = entry.GetServed()
}

// answer returns the totals that a source asked for, sorted by customer, and forgets that it asked.
func (s *sum) answer(from *source) []*fleetpb.Total {
	out := make([]*fleetpb.Total, 0, len(from.asked))
	for _, customer := range slices.Sorted(maps.Keys(from.asked)) {
		out = append(out, &fleetpb.Total{
			Customer: customer,
			Total:    s.totals[customer].units,
			Included: from.seen[customer],
		})
	}
	clear(from.asked)
	return out
}

// expire drops sources and customers that were not heard of since an instant.
func (s *sum) expire(since time.Time) {
	maps.DeleteFunc(s.sources, func(_ sourceKey, from *source) bool { return from.heard.Before(since) })
	maps.DeleteFunc(s.totals, func(_ uint32, sum *total) bool { return sum.heard.Before(since) })
}

// answers returns the answers to all sources that asked.
func (s *sum) answers(key sumKey) []message.Envelope {
	var out []message.Envelope
	for _, name := range slices.SortedFunc(maps.Keys(s.sources), sourceKey.compare) {
		from := s.sources[name]
		if len(from.asked) == 0 {
			continue
		}
		totals := &fleetpb.Totals{Model: key.model, Shard: key.shard, Source: name.source, Incarnation: name.incarnation}
		totals.Totals = s.answer(from)
		out = append(out, message.Envelope{To: name.host, Body: &fleetpb.Body{Kind: &fleetpb.Body_Totals{Totals: totals}}})
	}
	return out
}
