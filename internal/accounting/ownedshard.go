package accounting

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

// ownedShard holds the totals of one customer shard of one model.
type ownedShard struct {
	totals  map[uint32]*customerTotal
	sources map[sourceKey]*reportSource
}

// newOwnedShard returns an empty shard.
func newOwnedShard() *ownedShard {
	return &ownedShard{totals: make(map[uint32]*customerTotal), sources: make(map[sourceKey]*reportSource)}
}

// addReport applies the accounts of a report and queues an answer to its source.
func (s *ownedShard) addReport(now time.Time, key sourceKey, accounts []*fleetpb.Account) {
	src, ok := s.sources[key]
	if !ok {
		src = &reportSource{highestServed: make(map[uint32]uint64), toAnswer: make(map[uint32]struct{})}
		s.sources[key] = src
	}
	src.reportedAt = now
	for _, entry := range accounts {
		s.addAccount(now, src, entry)
		src.toAnswer[entry.GetCustomer()] = struct{}{}
	}
}

// addAccount adds the growth of one account to its customer's total. The first report of an account adds no service, because the
// service before it may already be part of the total through the floor that another scheduler reported.
func (s *ownedShard) addAccount(now time.Time, src *reportSource, entry *fleetpb.Account) {
	customer := entry.GetCustomer()
	total, ok := s.totals[customer]
	if !ok {
		total = &customerTotal{}
		s.totals[customer] = total
	}
	total.reportedAt = now
	seen, known := src.highestServed[customer]
	if known && entry.GetServed() < seen {
		return
	}
	if known {
		total.units += entry.GetServed() - seen
	}
	total.units = max(total.units, entry.GetFloor())
	src.highestServed[customer] = entry.GetServed()
}

// takeTotals returns the totals of the customers that a source has reported since its last answer, sorted by customer. It clears
// the list of customers to answer.
func (s *ownedShard) takeTotals(src *reportSource) []*fleetpb.Total {
	totals := make([]*fleetpb.Total, 0, len(src.toAnswer))
	for _, customer := range slices.Sorted(maps.Keys(src.toAnswer)) {
		totals = append(totals, &fleetpb.Total{
			Customer: customer,
			Total:    s.totals[customer].units,
			Included: src.highestServed[customer],
		})
	}
	clear(src.toAnswer)
	return totals
}

// expire drops the sources and customers whose last report was before cutoff.
func (s *ownedShard) expire(cutoff time.Time) {
	maps.DeleteFunc(s.sources, func(_ sourceKey, src *reportSource) bool { return src.reportedAt.Before(cutoff) })
	maps.DeleteFunc(s.totals, func(_ uint32, total *customerTotal) bool { return total.reportedAt.Before(cutoff) })
}

// takeAnswers returns one answer for each source that has customers to answer, sorted by source, and clears those customers.
func (s *ownedShard) takeAnswers(key shardKey) []message.Envelope {
	var envelopes []message.Envelope
	for _, srcKey := range slices.SortedFunc(maps.Keys(s.sources), sourceKey.compare) {
		src := s.sources[srcKey]
		if len(src.toAnswer) == 0 {
			continue
		}
		totals := &fleetpb.Totals{Model: key.model, Shard: key.shard, Source: srcKey.pool, Incarnation: srcKey.incarnation}
		totals.Totals = s.takeTotals(src)
		envelopes = append(envelopes, message.Envelope{To: srcKey.host, Body: &fleetpb.Body{Kind: &fleetpb.Body_Totals{Totals: totals}}})
	}
	return envelopes
}
