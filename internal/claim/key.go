package claim

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// ShardCount is the number of shards of the key space, each with its own claim stream.
const ShardCount = 8

// ParseKey parses an idempotency key. It returns an error unless the key is a UUID of version 7 (RFC 9562).
func ParseKey(text string) (uuid.UUID, error) {
	key, err := uuid.Parse(text)
	if err != nil {
		return uuid.UUID{}, fmt.Errorf("idempotency key is not a UUID: %w", err)
	}
	if key.Version() != 7 || key.Variant() != uuid.RFC4122 {
		return uuid.UUID{}, fmt.Errorf("idempotency key is not a UUID of version 7 and the RFC 4122 variant: version %d", key.Version())
	}
	return key, nil
}

// KeyUnixMilli returns the creation time of a key, in Unix milliseconds, from its first 48 bits.
func KeyUnixMilli(key uuid.UUID) int64 {
	var milliseconds int64
	for _, b := range key[:6] {
		milliseconds = milliseconds<<8 | int64(b)
	}
	return milliseconds
}

// KeyShard returns the shard of a key, from 0 to ShardCount-1.
func KeyShard(key uuid.UUID) int { return int(xxhash.Sum64(key[:]) % ShardCount) }

// StreamName returns the name of the log stream of a shard.
func StreamName(shard int) string { return "claims-" + strconv.Itoa(shard) }

// BatcherRole returns the role name for which membership.View.Owner returns the router that runs the batcher of a shard.
func BatcherRole(shard int) string { return "claim|" + strconv.Itoa(shard) }
