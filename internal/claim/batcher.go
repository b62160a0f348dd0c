package claim

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/message"
)

// maxClaimIDBytes is the maximum length of a claim id. It is also the estimated size of a record without its answer.
const maxClaimIDBytes = 256

// Batcher appends records to the claim streams of the shards that the view assigns to its router, and answers from the records
// that it has read back. It is not safe for concurrent use.
//
// The caller reads the streams of Positions continuously and passes the results to Page and ReadFailed. The timeout of each
// read must be below Limits.ReadFailureGrace, because after a failed read the stream counts as failing until the next page.
type Batcher struct {
	limits Limits
	shards [ShardCount]*shardBatcher
	// inFlight maps the ids of the appends without a result to their shards.
	inFlight map[uint64]*shardBatcher
	// lastAppendID is the id of the newest append.
	lastAppendID uint64
	// rejectedRequests counts claim requests with a field out of range.
	rejectedRequests int
}

// NewBatcher returns a batcher that owns no shard.
func NewBatcher(limits Limits) *Batcher {
	batcher := &Batcher{limits: limits, inFlight: make(map[uint64]*shardBatcher)}
	for shard := range batcher.shards {
		batcher.shards[shard] = newShardBatcher(shard, limits)
	}
	return batcher
}

// UpdateView takes over the shards that a new view assigns to this router and gives up all others.
func (b *Batcher) UpdateView(_ time.Time, view membership.View) {
	self := view.Self().Name
	for index, shard := range b.shards {
		shard.setOwned(self != "" && view.Owner(BatcherRole(index)) == self)
	}
}

// Receive handles a claim request of an entry router and ignores other messages. A request for a shard that this router does
// not own is kept until it owns the shard, since the entry router may know a newer view.
func (b *Batcher) Receive(now time.Time, from string, body *fleetpb.Body) {
	request := body.GetClaimRequest()
	if request == nil {
		return
	}
	record, ok := recordFromRequest(request)
	if !ok {
		b.rejectedRequests++
		return
	}
	b.shards[KeyShard(record.Key)].submit(now, from, record)
}

// Page handles a page that was read from a stream. It is ignored if this router does not own the shard of the stream.
func (b *Batcher) Page(now time.Time, stream string, page external.Page) {
	if shard := b.ownedShard(stream); shard != nil {
		shard.applyPage(now, page)
	}
}

// ReadFailed records that a stream could not be read.
func (b *Batcher) ReadFailed(now time.Time, stream string) {
	if shard := b.ownedShard(stream); shard != nil {
		shard.cursor.Failed(now)
	}
}

// Appended handles the result of an append. An error of type *external.UnsettledError means that the append may have taken
// effect or may still do so. Any other error means that it has not and will not.
func (b *Batcher) Appended(now time.Time, id uint64, err error) {
	if shard := b.inFlight[id]; shard != nil {
		delete(b.inFlight, id)
		shard.handleAppendResult(now, id, err)
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

// Tick returns the verdicts to send and the appends to start. Their results must be passed to Appended.
func (b *Batcher) Tick(now time.Time) message.Effects {
	var effects message.Effects
	memoryFull := b.MemoryBytes() >= b.limits.MaxMemoryBytes
	for _, shard := range b.shards {
		if data := shard.tick(now, b.lastAppendID+1, memoryFull); data != nil {
			b.lastAppendID++
			b.inFlight[b.lastAppendID] = shard
			effects.Appends = append(effects.Appends, message.Append{ID: b.lastAppendID, Stream: shard.stream, Data: data})
		}
		effects.Envelopes = append(effects.Envelopes, shard.replies...)
		shard.replies = nil
	}
	return effects
}

// MemoryBytes returns the approximate size of the key tables.
func (b *Batcher) MemoryBytes() int {
	size := 0
	for _, shard := range b.shards {
		size += shard.keys.MemoryBytes()
	}
	return size
}

// DroppedCount returns how many claim requests were rejected since the start, plus how many parts of log records were dropped
// since the shards were last taken over or given up.
func (b *Batcher) DroppedCount() int {
	dropped := b.rejectedRequests
	for _, shard := range b.shards {
		dropped += shard.keys.DroppedCount()
	}
	return dropped
}

// ownedShard returns the shard of a stream, or nil if this router does not own it.
func (b *Batcher) ownedShard(stream string) *shardBatcher {
	for _, shard := range b.shards {
		if shard.owned && shard.stream == stream {
			return shard
		}
	}
	return nil
}

// kindsByStep maps the step of a claim request to the kind of record that it appends.
var kindsByStep = map[fleetpb.ClaimStep]RecordKind{
	fleetpb.ClaimStep_CLAIM_STEP_CLAIM:   KindClaim,
	fleetpb.ClaimStep_CLAIM_STEP_DONE:    KindDone,
	fleetpb.ClaimStep_CLAIM_STEP_RELEASE: KindRelease,
}

// recordFromRequest returns the record that a request asks to append, and false if a field of the request is out of range.
func recordFromRequest(request *fleetpb.ClaimRequest) (Record, bool) {
	key, err := uuid.FromBytes(request.GetKey())
	kind := kindsByStep[request.GetStep()]
	claimID := request.GetClaim()
	if err != nil || kind == 0 || claimID == "" || len(claimID) > maxClaimIDBytes || len(request.GetBodyHash()) > bodyHashSize {
		return Record{}, false
	}
	return Record{
		Kind:              kind,
		Key:               key,
		ClaimID:           claimID,
		Customer:          request.GetCustomer(),
		BodyHash:          slices.Clone(request.GetBodyHash()),
		DeadlineUnixMilli: request.GetDeadline(),
		Status:            request.GetStatus(),
		Answer:            slices.Clone(request.GetAnswer()),
	}, true
}
