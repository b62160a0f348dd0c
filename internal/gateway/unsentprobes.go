package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/quarantine"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

// takeBackTime is the time for which a router tries to take a claim back in the store.
const takeBackTime = 5 * time.Second

// unsentProbes holds the claimed probes that reached no target, until the store no longer counts them. It is safe for concurrent use.
type unsentProbes struct {
	mu sync.Mutex
	// tryUntil holds the time until which each claim is tried to be taken back, by the id of the probe.
	tryUntil map[string]time.Time
}

// add adds a probe.
func (u *unsentProbes) add(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.tryUntil == nil {
		u.tryUntil = make(map[string]time.Time)
	}
	u.tryUntil[id] = time.Now().Add(takeBackTime)
}

// ids returns the ids of all probes.
func (u *unsentProbes) ids() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Sorted(maps.Keys(u.tryUntil))
}

// remove removes probes.
func (u *unsentProbes) remove(ids []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, id := range ids {
		delete(u.tryUntil, id)
	}
}

// takeOverdue removes and returns the probes whose claims could not be taken back in time.
func (u *unsentProbes) takeOverdue(now time.Time) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var overdue []string
	for id, until := range u.tryUntil {
		if !now.Before(until) {
			overdue = append(overdue, id)
			delete(u.tryUntil, id)
		}
	}
	return overdue
}

// takeBack queues the claim of a probe that reached no target, and never will, to be taken back.
func (p *probeClaims) takeBack(probeID string, fingerprints []uint64) {
	p.suspects.probeUnsent(probeID, fingerprints)
	p.unsent.add(probeID)
}

// writeUnsent takes back the claims of all unsent probes in the store, and reports whether it has to be called again. Claims name their probes,
// so a write whose answer was lost can be repeated and takes back nothing twice.
func (p *probeClaims) writeUnsent(ctx context.Context) (again bool) {
	ids := p.unsent.ids()
	if len(ids) == 0 {
		return false
	}
	err := p.tryTakeBack(ctx, ids)
	if err == nil {
		p.unsent.remove(ids)
		return false
	}
	if overdue := p.unsent.takeOverdue(time.Now()); len(overdue) > 0 {
		event.ProbesNotReturned.Log(p.logger, overdue, err)
	}
	return true
}

// tryTakeBack takes the claims of probes back.
func (p *probeClaims) tryTakeBack(ctx context.Context, ids []string) error {
	return p.rewrite(ctx, func(known []quarantine.Claim) []quarantine.Claim { return quarantine.WithoutProbes(known, ids) })
}

// writeLost writes the claims of this router again that the store has lost, and reports whether it has to be called again.
func (p *probeClaims) writeLost(ctx context.Context) (again bool) {
	if !p.mayHaveLost.Swap(false) {
		return false
	}
	if err := p.rewrite(ctx, p.suspects.lostClaims); err != nil {
		p.mayHaveLost.Store(true)
		return true
	}
	return false
}

// rewrite reads all claims and writes those that change returns for them, if no other router has written any meanwhile.
func (p *probeClaims) rewrite(ctx context.Context, change func(known []quarantine.Claim) []quarantine.Claim) error {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(claimTimeout))
	defer cancel()
	var conflict *topiclog.ConflictError
	for range maxClaimAttempts {
		page, err := p.topic.ReadNewest(ctx)
		if err != nil {
			return err
		}
		changed := change(p.decodeClaims(page.Records))
		if len(changed) == 0 {
			return nil
		}
		records, err := encodeClaims(nil, changed)
		if err != nil {
			return err
		}
		if err = p.topic.Append(ctx, page.NextOffset, records); !errors.As(err, &conflict) {
			return err
		}
	}
	return conflict
}
