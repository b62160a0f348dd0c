package dispatch

import (
	"container/list"
	"time"
)

const (
	// cacheEntryTTL is the time after its last use at which a prompt part is assumed to be evicted from a target's cache.
	cacheEntryTTL = 60 * time.Second
	// cacheMemoryFraction is the fraction of a target's KV capacity that holds parts of prompts. The tokens that running requests have
	// generated use the rest.
	cacheMemoryFraction = 0.95
	// lifetimeWeight is the weight of one evicted part in the average lifetime of parts.
	lifetimeWeight = 0.05
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
	// lifetime is how long parts that are not used stay in the cache, by those that were evicted recently. It is 0 until one was.
	lifetime time.Duration
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
		c.evict(now, entryOf(c.recency.Back()))
	}
}

// evict removes the least recently used part and learns from its age how long parts stay.
func (c *promptCache) evict(now time.Time, entry *cacheEntry) {
	age := min(now.Sub(entry.lastUsed), cacheEntryTTL)
	if c.lifetime == 0 {
		c.lifetime = age
	}
	c.lifetime += time.Duration(float64(age-c.lifetime) * lifetimeWeight)
	c.remove(entry.partID)
}

// match compares a prompt with the cache. cachedTokens is the number of tokens at its beginning that are in the cache. displacedTokens is the
// number of tokens of other parts that are expected to be evicted earlier because the target uses the shared parts of the prompt, all but
// the last: a part that is not in the cache displaces as many tokens as it has, and one that is extends its stay by the time since its
// last use, which is a fraction of the lifetime of a part.
func (c *promptCache) match(now time.Time, parts []Part) (cachedTokens int, displacedTokens float64) {
	isPrefix := true
	for i, part := range parts {
		unused := cacheEntryTTL + 1 // Longer than any part stays.
		if found, ok := c.entries[part.ID]; ok {
			unused = now.Sub(entryOf(found).lastUsed)
		}
		isPrefix = isPrefix && unused <= cacheEntryTTL
		if isPrefix {
			cachedTokens += part.Tokens
		}
		if i < len(parts)-1 && c.lifetime > 0 { // Nothing is displaced as long as nothing has been evicted.
			displacedTokens += min(float64(unused)/float64(c.lifetime), 1) * float64(part.Tokens)
		}
	}
	return cachedTokens, displacedTokens
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
