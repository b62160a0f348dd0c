package dispatch_test

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
)

const (
	// fetchTokensPerSecond and fetchSetup are the speed at which a simulated target fetches tokens from another one, and the time before it
	// begins.
	fetchTokensPerSecond = 600_000
	fetchSetup           = 8 * time.Millisecond
)

// promptMemory is the memory of a simulated target. It drops the parts that were not used for the longest time.
type promptMemory struct {
	// capacity is in tokens, 0 for no bound.
	capacity, used int
	lastUse        map[uint64]time.Time
	tokens         map[uint64]int
}

// newPromptMemory returns an empty memory.
func newPromptMemory(capacity int) *promptMemory {
	return &promptMemory{capacity: capacity, lastUse: make(map[uint64]time.Time), tokens: make(map[uint64]int)}
}

// use keeps a part and drops others if there is no room.
func (m *promptMemory) use(now time.Time, part dispatch.Part) {
	if _, kept := m.tokens[part.ID]; !kept {
		m.used += part.Tokens
	}
	m.tokens[part.ID], m.lastUse[part.ID] = part.Tokens, now
	for m.capacity > 0 && m.used > m.capacity && len(m.tokens) > 1 {
		m.dropOldest()
	}
}

// dropOldest drops the part that was not used for the longest time.
func (m *promptMemory) dropOldest() {
	var oldest uint64
	found := false
	for id, at := range m.lastUse {
		if !found || at.Before(m.lastUse[oldest]) || at.Equal(m.lastUse[oldest]) && id < oldest {
			oldest, found = id, true
		}
	}
	m.used -= m.tokens[oldest]
	delete(m.tokens, oldest)
	delete(m.lastUse, oldest)
}

// kept returns the number of tokens at the beginning of a prompt that the memory holds.
func (m *promptMemory) kept(parts []dispatch.Part) int {
	tokens := 0
	for _, part := range parts {
		if _, kept := m.tokens[part.ID]; !kept {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// missing returns the number of tokens of a prompt that have to be read, and that of those that can be fetched from another target.
func (m *promptMemory) missing(request dispatch.Request, source *simTarget) (unread, fetched int) {
	kept := m.kept(request.Parts)
	if source != nil {
		fetched = max(source.memory.kept(request.Parts)-kept, 0)
	}
	return request.PromptTokens - kept - fetched, fetched
}

// promptFigures are sums over the requests that targets began.
type promptFigures struct {
	begun, inTime int
	// prompt, read and fetched are tokens: those of all prompts, those that targets read, and those that they fetched.
	prompt, read, fetched int
}

// count adds a request.
func (p *promptFigures) count(request dispatch.Request, read, fetched int) {
	p.begun++
	p.prompt += request.PromptTokens
	p.read += read
	p.fetched += fetched
}
