package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

const (
	// settleTime is how long after the store came back from an older copy it may lack what the operator, the targets and the routers write
	// again.
	settleTime = 2500 * time.Millisecond
	// minRecordDelay and maxRecordDelay bound the random time after which a router records that an era is settled. They are longer than settleTime
	// by more than settledSlack.
	minRecordDelay = 4 * time.Second
	maxRecordDelay = 5 * time.Second
	// settledSlack is how long before a router sees that an era is settled it was so already.
	settledSlack = time.Second
	// recordInterval is the time between checks whether an era has to be recorded as settled, recordTimeout limits one write.
	recordInterval = 500 * time.Millisecond
	recordTimeout  = 2 * time.Second
	// settledKey is the key of the only record, whose value is the number of the settled era in decimal digits.
	settledKey = "settled"
)

// eraSettlement tells whether what the store holds is complete. When the store comes back from an older copy, a new era begins, and what was
// written since the copy is missing until its writers have written it again. The era is recorded as settled afterwards, so that a router that
// starts later does not wait. As a topiclog.Handler it belongs to one goroutine; its other methods are safe for concurrent use.
type eraSettlement struct {
	topic  topiclog.Topic
	eras   *topiclog.EraTracker
	logger zerolog.Logger
	// recordDelay is the time after which this router records an era.
	recordDelay time.Duration

	mu sync.Mutex
	// settled is the newest era that was found to be recorded as settled, settledAt the time of that.
	settled   uint64
	settledAt time.Time
}

// newEraSettlement returns the settlement of a router that has read nothing from the topic.
func newEraSettlement(topic topiclog.Topic, eras *topiclog.EraTracker, logger zerolog.Logger) *eraSettlement {
	recordDelay := minRecordDelay + rand.N(maxRecordDelay-minRecordDelay)
	return &eraSettlement{topic: topic, eras: eras, logger: logger, recordDelay: recordDelay}
}

// covers reports whether a read that is complete as of a time has what was written before the newest era began.
func (s *eraSettlement) covers(asOf time.Time) bool { return !asOf.Before(s.completeFrom()) }

// completeFrom returns the time from which the store is complete, as far as this router knows. It is zero if the store has never come back from an
// older copy.
func (s *eraSettlement) completeFrom() time.Time {
	era, since := s.eras.Newest()
	if era <= topiclog.FirstEra {
		return time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	from := since.Add(settleTime)
	if seenFrom := s.settledAt.Add(-settledSlack); s.settled == era && seenFrom.Before(from) {
		return seenFrom
	}
	return from
}

// Reset takes the newest record.
func (s *eraSettlement) Reset(now time.Time, records []topiclog.Record) { s.Apply(now, records) }

// Apply takes newer records. Those of earlier eras say nothing.
func (s *eraSettlement) Apply(_ time.Time, records []topiclog.Record) {
	for _, record := range records {
		if record.Key != settledKey || record.Value == nil {
			continue
		}
		era, err := strconv.ParseUint(string(record.Value), 10, 64)
		if err != nil {
			event.RecordInvalid.Log(s.logger, "eras", record.Key, err)
			continue
		}
		s.found(era)
	}
}

// found records that an era is recorded as settled.
func (s *eraSettlement) found(era uint64) {
	newest, _ := s.eras.Newest()
	s.mu.Lock()
	defer s.mu.Unlock()
	if era == newest && era != s.settled {
		s.settled, s.settledAt = era, time.Now()
	}
}

// CaughtUp does nothing, because a missing record says only that the era is not settled.
func (s *eraSettlement) CaughtUp(boottime.Instant) {}

// Failed logs that the store came back from an older copy. The handlers of the other topics log other failures.
func (s *eraSettlement) Failed(_ time.Time, err error) {
	var otherEra *topiclog.EraError
	if errors.As(err, &otherEra) && otherEra.Restored() {
		event.StoreRestored.Log(s.logger, otherEra.Received)
	}
}

// record records the newest era when it is settled and no other router has done so, until ctx ends.
func (s *eraSettlement) record(ctx context.Context) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if era := s.due(); era != 0 {
				s.write(ctx, era)
			}
		}
	}
}

// due returns the era to record now, zero if there is none.
func (s *eraSettlement) due() uint64 {
	era, since := s.eras.Newest()
	s.mu.Lock()
	defer s.mu.Unlock()
	if era <= topiclog.FirstEra || s.settled == era || time.Now().Before(since.Add(s.recordDelay)) {
		return 0
	}
	return era
}

// write records an era. If this fails, the era is still due.
func (s *eraSettlement) write(ctx context.Context, era uint64) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(recordTimeout))
	defer cancel()
	if err := s.topic.Put(ctx, settledKey, strconv.AppendUint(nil, era, 10)); err != nil {
		event.EraUnrecorded.Log(s.logger, era, err)
		return
	}
	s.found(era)
}
