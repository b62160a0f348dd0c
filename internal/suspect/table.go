// Package suspect tells which requests crash the targets that run them.
package suspect

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/platform"
)

// Stream is the log stream of crash records.
const Stream = "suspects"

// Verdict tells how a request may run.
type Verdict int

// Verdicts on requests.
const (
	Clear Verdict = iota
	Apart
	Quarantined
)

// Table counts crashes of requests at this router.
type Table struct{ crashes map[uint64]int }

// New returns an empty table.
func New() *Table { return &Table{crashes: make(map[uint64]int)} }

// Crashed records that requests were on a target when it crashed.
func (t *Table) Crashed(_ time.Time, _, _ string, fingerprints []uint64) {
	for _, fingerprint := range fingerprints {
		t.crashes[fingerprint]++
	}
}

// Verdict returns how a request may run.
func (t *Table) Verdict(_ time.Time, fingerprint uint64) Verdict {
	return Verdict(min(t.crashes[fingerprint], int(Quarantined)))
}

// Positions returns no stream.
func (t *Table) Positions() []message.Position { return nil }

// Page takes records of the log.
func (t *Table) Page(time.Time, string, platform.Page) {}

// ReadFailed notes a failed read.
func (t *Table) ReadFailed(time.Time, string) {}

// Appended takes the result of an append.
func (t *Table) Appended(time.Time, uint64, error) {}

// Connected notes a session.
func (t *Table) Connected(time.Time, string, uint64) {}

// Disconnected notes the end of a session.
func (t *Table) Disconnected(time.Time, string) {}

// Receive takes crash records of a peer.
func (t *Table) Receive(time.Time, string, *fleetpb.Body) {}

// Tick returns no effects.
func (t *Table) Tick(time.Time) message.Effects { return message.Effects{} }
