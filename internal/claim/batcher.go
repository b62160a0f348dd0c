package claim

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/outside"
)

// maxClaimBytes bounds the length of a claim id.
const maxClaimBytes = 256

// Batcher appends claims to the streams of the shards that the view gives it and answers from what it read back. The
// process around it reads the streams of Positions all the time, with a deadline below Limits.Grace for each read, since
// a failed read counts until the next page.
type Batcher struct {
	limits  Limits
	shards  [ShardCount]*shard
	flights map[uint64]*shard
	number  uint64
	// rejected counts requests with a field out of range.
	rejected int
}

// NewBatcher returns a batcher without a shard.
func NewBatcher(limits Limits) *Batcher {
	batcher := &Batcher{limits: limits, flights: make(map[uint64]*shard)}
	for number := range batcher.shards {
		batcher.shards[number] = newShard(number, limits)
	}
	return batcher
}

// UpdateView takes over the shards that a view gives to this router and leaves the others.
func (b *Batcher) UpdateView(_ time.Time, view membership.View) {
	self := view.Self().Name
	for number, shard := range b.shards {
		shard.own(self != "" && view.Owner(BatcherRole(number)) == self)
	}
}

// Receive takes a claim request of an entry router; other messages are ignored. A request for a shard that this router
// does not own waits for the role, since the asker may know a newer view.
func (b *Batcher) Receive(now time.Time, from string, body *fleetpb.Body) {
	request := body.GetClaimRequest()
	if request == nil {
		return
	}
	record, ok := recordOf(request)
	if !ok {
		b.rejected++
		return
	}
	b.shards[Shard(record.Key)].ask(now, from, record)
}

// Page takes records that were read from the log.
func (b *Batcher) Page(now time.Time, stream string, page outside.Page) {
	if shard := b.shard(stream); shard != nil {
		shard.page(now, page)
	}
}

// ReadFailed notes that a stream could not be read.
func (b *Batcher) ReadFailed(now time.Time, stream string) {
	if shard := b.shard(stream); shard != nil {
		shard.cursor.Failed(now)
	}
}

// Appended takes the result of an append. An error of type *outside.UnsettledError means that the append may have
// taken effect or may still do so, any other error that it did not.
func (b *Batcher) Appended(now time.Time, id uint64, err error) {
	if shard := b.flights[id]; shard != nil {
		delete(b.flights, id)
		shard.appended(now, id, err)
	}
}

// Positions returns the streams to read and the offsets to read from, ordered by shard.
func (b *Batcher) Positions() []message.Position {
	var positions []message.Position
	for _, shard := range b.shards {
		if shard.owned {
			positions = append(positions, shard.cursor.Position())
		}
	}
	return positions
}

// Tick returns the verdicts to send and the appends to start.
func (b *Batcher) Tick(now time.Time) message.Effects {
	var effects message.Effects
	full := b.Memory() >= b.limits.Memory
	for _, shard := range b.shards {
		if data := shard.tick(now, b.number+1, full); data != nil {
			b.number++
			b.flights[b.number] = shard
			effects.Appends = append(effects.Appends, message.Append{ID: b.number, Stream: shard.stream, Data: data})
		}
		effects.Envelopes = append(effects.Envelopes, shard.replies...)
		shard.replies = nil
	}
	return effects
}

// Memory returns the approximate size of the folds in bytes.
func (b *Batcher) Memory() int {
	size := 0
	for _, shard := range b.shards {
		size += shard.fold.Memory()
	}
	return size
}

// Dropped returns the number of log records and requests that were dropped as garbage since the roles were taken.
func (b *Batcher) Dropped() int {
	dropped := b.rejected
	for _, shard := range b.shards {
		dropped += shard.fold.Dropped()
	}
	return dropped
}

// shard returns the owned shard of a stream, or nil.
func (b *Batcher) shard(stream string) *shard {
	for _, shard := range b.shards {
		if shard.owned && shard.stream == stream {
			return shard
		}
	}
	return nil
}

// kinds maps the steps of requests to kinds of records.
var kinds = map[fleetpb.ClaimStep]Kind{
	fleetpb.ClaimStep_CLAIM_STEP_CLAIM:   Claimed,
	fleetpb.ClaimStep_CLAIM_STEP_DONE:    Done,
	fleetpb.ClaimStep_CLAIM_STEP_RELEASE: Released,
}

// recordOf returns the record that a request asks for, and false if a field is out of range.
func recordOf(request *fleetpb.ClaimRequest) (Record, bool) {
	key, err := uuid.FromBytes(request.GetKey())
	kind := kinds[request.GetStep()]
	claim := request.GetClaim()
	if err != nil || kind == 0 || claim == "" || len(claim) > maxClaimBytes || len(request.GetBodyHash()) > hashBytes {
		return Record{}, false
	}
	return Record{
		Kind:     kind,
		Key:      key,
		Claim:    claim,
		Customer: request.GetCustomer(),
		BodyHash: slices.Clone(request.GetBodyHash()),
		Deadline: request.GetDeadline(),
		Status:   request.GetStatus(),
		Answer:   slices.Clone(request.GetAnswer()),
	}, true
}
