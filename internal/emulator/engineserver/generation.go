package engineserver

import (
	"strings"
	"time"

	"github.com/chicorydale/chicorydale/internal/emulator/transcript"
	"github.com/chicorydale/chicorydale/internal/external"
)

// generation is one call and its stream. The lock of the server guards its fields.
type generation struct {
	id         string
	transcript transcript.Transcript
	// triggersCrash is set if the prompt contains the crash word.
	triggersCrash bool
	// produced is the number of tokens produced so far.
	produced int64
	state    state
	// endedAt is set when the generation leaves stateActive.
	endedAt time.Time
	// changed is closed and replaced at each change of produced or state.
	changed chan struct{}
}

// newGeneration returns the generation of a call. An empty crash word never triggers a crash.
func newGeneration(call external.GenerateRequest, crashWord string) *generation {
	return &generation{
		id: call.StreamID, transcript: transcript.New(call.Prompt, call.MaxTokens),
		triggersCrash: crashWord != "" && strings.Contains(call.Prompt, crashWord),
		changed:       make(chan struct{}),
	}
}

// produceToken produces one token.
func (g *generation) produceToken() {
	g.produced++
	g.notifyReaders()
}

// end moves the generation to a final state.
func (g *generation) end(now time.Time, endState state) {
	g.state, g.endedAt = endState, now
	g.notifyReaders()
}

// notifyReaders wakes the handlers that wait for a change of the generation.
func (g *generation) notifyReaders() {
	close(g.changed)
	g.changed = make(chan struct{})
}
