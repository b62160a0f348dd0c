package claim

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// ShardCount is the number of claim streams.
const ShardCount = 8

// ParseKey reads an idempotency key, which is a UUID of version 7.
func ParseKey(text string) (uuid.UUID, error) {
	key, err := uuid.Parse(text)
	if err != nil {
		return uuid.UUID{}, fmt.Errorf("key is no UUID: %w", err)
	}
	if key.Version() != 7 || key.Variant() != uuid.RFC4122 {
		return uuid.UUID{}, fmt.Errorf("key is a UUID of version %d, not 7", key.Version())
	}
	return key, nil
}

// KeyTime returns the instant at which a key was made, in Unix milliseconds.
func KeyTime(key uuid.UUID) int64 {
	var milliseconds int64
	for _, b := range key[:6] {
		milliseconds = milliseconds<<8 | int64(b)
	}
	return milliseconds
}

// Shard returns the claim shard of a key.
func Shard(key uuid.UUID) int { return int(xxhash.Sum64(key[:]) % ShardCount) }

// StreamName returns the name of the log stream of a claim shard.
func StreamName(shard int) string { return "claims-" + strconv.Itoa(shard) }

// BatcherRole returns the key by which membership.View chooses the batcher of a claim shard.
func BatcherRole(shard int) string { return "claim|" + strconv.Itoa(shard) }
