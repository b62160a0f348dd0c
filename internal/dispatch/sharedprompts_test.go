package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/dispatch"
)

const (
	// sharedTokens and ownTokens are the lengths of the part of a prompt that many requests share, and of the rest.
	sharedTokens = 13_300
	ownTokens    = 3_720
	// memoryTokens is the memory of each target in the tests of long shared prompts.
	memoryTokens = 450_000
)

// sharedPrompts sends requests with long shared parts to a fleet.
type sharedPrompts struct {
	fleet *simFleet
	// parts is the number of shared parts, hot the fraction of the requests that use the first one.
	parts int
	hot   float64
	// perSecond is the number of requests per second.
	perSecond float64
	sent      int
}

// newSharedPrompts returns a fleet whose targets have a bounded memory, and requests that use a fraction of the read speed of all targets
// for their own tokens alone.
func newSharedPrompts(seed uint64, parts int, load float64) *sharedPrompts {
	f := newSimFleet(seed, 2, 2, 64)
	for _, target := range f.targets {
		target.memory.capacity = memoryTokens
	}
	for _, router := range f.routers {
		router.dispatcher.SetKVCapacity("m", memoryTokens)
	}
	return &sharedPrompts{fleet: f, parts: parts, perSecond: load * readTokensPerSecond * float64(len(f.targets)) / ownTokens}
}

// run plays the requests for a time.
func (s *sharedPrompts) run(length time.Duration) {
	s.fleet.after(0, s.arrive)
	s.fleet.run(length, nil)
}

// arrive submits a request and schedules the next one.
func (s *sharedPrompts) arrive() {
	f := s.fleet
	part := uint64(f.random.IntN(s.parts))
	if f.random.Float64() < s.hot {
		part = 0
	}
	s.sent++
	f.submit(f.routers[f.random.IntN(len(f.routers))], simRequest{isRetry: true, Request: dispatch.Request{
		Customer: "c", Service: "m", PromptTokens: sharedTokens + ownTokens, MaxOutputTokens: 24,
		Parts:     []dispatch.Part{{ID: 1 + part, Tokens: sharedTokens}, {ID: 1_000_000 + uint64(s.sent), Tokens: ownTokens}},
		Objective: f.now.Add(400 * time.Millisecond), Deadline: f.now.Add(8 * time.Second),
	}})
	f.after(time.Duration(f.random.ExpFloat64()/s.perSecond*float64(time.Second)), s.arrive)
}

// check fails the test if fewer requests than the given fraction were answered in time, or if targets read or moved more of the shared
// tokens than the given fractions.
func (s *sharedPrompts) check(t *testing.T, inTime, readAgain, moved float64) {
	t.Helper()
	figures := s.fleet.prompts
	shared := float64(figures.begun * sharedTokens)
	gotInTime := float64(figures.inTime) / float64(s.sent)
	gotRead := float64(figures.read-figures.begun*ownTokens) / shared
	gotMoved := float64(figures.fetched) / shared
	t.Logf("in time %.3f of %d, shared tokens read again %.3f, moved %.3f", gotInTime, s.sent, gotRead, gotMoved)
	qt.Check(t, gotInTime >= inTime, qt.IsTrue)
	qt.Check(t, gotRead <= readAgain, qt.IsTrue)
	qt.Check(t, gotMoved <= moved, qt.IsTrue)
}

// TestSharedPartsStayWhereTheyAre guards against copies of shared parts at whatever target a request goes to: each copy pushes other parts
// out of a memory that holds each part once, so that they have to be read or copied again and the targets have no time for requests.
func TestSharedPartsStayWhereTheyAre(t *testing.T) {
	for seed := range uint64(3) {
		s := newSharedPrompts(seed, 130, 0.45)
		s.run(20 * time.Second)
		s.check(t, 0.9, 0.15, 0.15)
	}
}

// TestHotSharedPartIsCopied guards against requests that queue at the only target that has a busy part.
func TestHotSharedPartIsCopied(t *testing.T) {
	s := newSharedPrompts(0, 60, 0.45)
	s.hot = 0.4
	s.run(20 * time.Second)
	s.check(t, 0.9, 0.2, 0.2)
}

// TestOverloadMakesNoCopies guards against an overload that feeds itself: requests that find the targets of their parts busy are sent to
// others, and the copies that these make cost the time that is lacking.
func TestOverloadMakesNoCopies(t *testing.T) {
	for seed := range uint64(2) {
		s := newSharedPrompts(seed, 180, 0.8)
		s.run(20 * time.Second)
		s.check(t, 0.33, 0.2, 0.2)
	}
}
