package dispatch

import (
	"container/list"
	"time"
)

const (
	// cacheEntryTTL is the time after its last use at which a prompt part is assumed to be evicted from a target's cache.
	cacheEntryTTL = 60 * time.Second
	// cacheMemoryFraction is the fraction of a target's KV capacity that holds cached parts. Running requests use the rest.
	cacheMemoryFraction = 0.6
	// defaultKVCapacity is the KV capacity in tokens that is assumed for a target whose capacity is not known.
	defaultKVCapacity = 400_000
)

// cacheEntry is a prompt part in a target's cache.
type cacheEntry struct {
	partID   uint64
	tokens   int
	lastUsed time.Time
}

// promptCache models the prompt parts that a target has cached. It evicts the least recently used parts, as the target does.
type promptCache struct {
	entries map[uint64]*list.Element
	// recency lists the entries from the most to the least recently used.
	recency     *list.List
	totalTokens int
}

// newPromptCache returns an empty cache.
func newPromptCache() *promptCache {
	return &promptCache{entries: make(map[uint64]*list.Element), recency: list.New()}
}

// contains reports whether a part is in the cache and has not expired.
func (c *promptCache) contains(now time.Time, partID uint64) bool {
	found, ok := c.entries[partID]
	return ok && now.Sub(entryOf(found).lastUsed) <= cacheEntryTTL
}

// touch records that the target reads a part. It adds the part if it is new and then evicts others as the target's KV capacity
// requires. The capacity is in tokens; 0 means unknown.
func (c *promptCache) touch(now time.Time, part Part, kvCapacity int) {
	if found, ok := c.entries[part.ID]; ok {
		entryOf(found).lastUsed = now
		c.recency.MoveToFront(found)
		return
	}
	c.entries[part.ID] = c.recency.PushFront(&cacheEntry{partID: part.ID, tokens: part.Tokens, lastUsed: now})
	c.totalTokens += part.Tokens
	if kvCapacity <= 0 {
		kvCapacity = defaultKVCapacity
	}
	for c.totalTokens > int(float64(kvCapacity)*cacheMemoryFraction) && c.recency.Len() > 1 {
		c.remove(entryOf(c.recency.Back()).partID)
	}
}

// remove removes a part from the cache.
func (c *promptCache) remove(partID uint64) {
	if found, ok := c.entries[partID]; ok {
		c.totalTokens -= entryOf(found).tokens
		c.recency.Remove(found)
		delete(c.entries, partID)
	}
}

// forEach calls visit for every part that has not expired, from the most to the least recently used.
func (c *promptCache) forEach(now time.Time, visit func(part Part)) {
	for element := c.recency.Front(); element != nil; element = element.Next() {
		if entry := entryOf(element); now.Sub(entry.lastUsed) <= cacheEntryTTL {
			visit(Part{ID: entry.partID, Tokens: entry.tokens})
		}
	}
}

// entryOf returns the cache entry in a list element.
func entryOf(element *list.Element) *cacheEntry {
	value, _ := element.Value.(*cacheEntry) // The list holds nothing else.
	return value
}
