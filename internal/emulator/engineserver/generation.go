package engineserver

import (
	"strings"
	"time"

	"github.com/chicorydale/chicorydale/internal/emulator/transcript"
	"github.com/chicorydale/chicorydale/internal/outside"
)

// generation is one call and its stream. The server's lock guards its fields.
type generation struct {
	id         string
	transcript transcript.Transcript
	deadly     bool
	produced   int64
	state      state
	ended      time.Time
	changed    chan struct{}
}

// newGeneration returns the generation of a call; it is deadly if the prompt contains the crash word.
func newGeneration(call outside.GenerateRequest, crashWord string) *generation {
	return &generation{
		id: call.StreamID, transcript: transcript.New(call.Prompt, call.MaxTokens),
		deadly:  crashWord != "" && strings.Contains(call.Prompt, crashWord),
		changed: make(chan struct{}),
	}
}

// advance produces one token.
func (g *generation) advance() {
	g.produced++
	g.wake()
}

// end ends the generation.
func (g *generation) end(now time.Time, state state) {
	g.state, g.ended = state, now
	g.wake()
}

// wake wakes the readers.
func (g *generation) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}
