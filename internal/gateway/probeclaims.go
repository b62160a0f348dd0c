package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/quarantine"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

const (
	// claimTimeout limits the time to claim a probe. A request holds a slot of its target meanwhile.
	claimTimeout = 300 * time.Millisecond
	// maxClaimAttempts is how often a claim is tried if other routers write claims at the same time.
	maxClaimAttempts = 3
	// claimLifetime is the time after its claim in which a probe may be sent. A probe that reached no target is tried at others.
	claimLifetime = time.Second
)

// probeClaims claims probes in the store: all routers together send only so many. It is safe for concurrent use.
type probeClaims struct {
	topic      topiclog.ConditionalTopic
	settlement *eraSettlement
	suspects   *suspects
	logger     zerolog.Logger
	unsent     unsentProbes
	// mayHaveLost is set while the store may have lost claims of this router.
	mayHaveLost atomic.Bool
}

// claim writes the claims of a probe with the given id and quarantined fingerprints. If the probe must not be sent, granted is false; retryAt
// is when to try again, or zero if that may take long. A claim that may have been written all the same is taken back.
func (p *probeClaims) claim(ctx context.Context, probeID string, quarantined []uint64) (granted bool, retryAt time.Time) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(claimTimeout))
	defer cancel()
	for range maxClaimAttempts {
		granted, retryAt, err := p.tryClaim(ctx, probeID, quarantined)
		var conflict *topiclog.ConflictError
		if err == nil {
			return granted, retryAt
		}
		if !errors.As(err, &conflict) {
			event.ProbeUnclaimed.Log(p.logger, quarantined[0], err)
			p.takeBack(probeID, quarantined)
			break
		}
	}
	return false, time.Now().Add(retryAfter)
}

// tryClaim reads all claims, decides, and writes those of the probe if no other router has written any meanwhile. It claims nothing while claims of
// other routers may be missing that the store has lost.
func (p *probeClaims) tryClaim(
	ctx context.Context, probeID string, quarantined []uint64,
) (granted bool, retryAt time.Time, err error) {
	askedAt := time.Now()
	page, err := p.topic.ReadNewest(ctx)
	if err != nil {
		return false, time.Time{}, err
	}
	p.settlement.eras.Observe(page.Era)
	if !p.settlement.covers(askedAt) {
		return false, p.settlement.completeFrom(), nil
	}
	decision := p.suspects.decideProbe(probeID, quarantined, p.decodeClaims(page.Records))
	if len(decision.Granted) == 0 {
		return false, decision.RetryAt, nil
	}
	records, err := encodeClaims(decision.Expired, decision.Granted)
	if err != nil {
		return false, time.Time{}, err
	}
	err = p.topic.Append(ctx, page.NextOffset, records)
	var conflict *topiclog.ConflictError
	if !errors.As(err, &conflict) {
		p.suspects.probeClaimed(probeID, decision.Granted)
	}
	return err == nil, time.Time{}, err
}

// remove removes the claims of a fingerprint whose quarantine has ended. It is conditional as well, so that it never takes effect later, when the
// fingerprint may be quarantined again.
func (p *probeClaims) remove(ctx context.Context, fingerprint uint64) error {
	page, err := p.topic.ReadNewest(ctx)
	if err != nil {
		return err
	}
	key := strconv.FormatUint(fingerprint, fingerprintBase)
	if !slices.ContainsFunc(page.Records, func(record topiclog.Record) bool { return record.Key == key }) {
		return nil
	}
	return p.topic.Append(ctx, page.NextOffset, []topiclog.Record{{Key: key}})
}

// decodeClaims decodes claims and skips those that are invalid.
func (p *probeClaims) decodeClaims(records []topiclog.Record) []quarantine.Claim {
	claims := make([]quarantine.Claim, 0, len(records))
	for _, record := range records {
		var claim quarantine.Claim
		fingerprint, err := strconv.ParseUint(record.Key, fingerprintBase, 64)
		if err == nil {
			err = json.Unmarshal(record.Value, &claim)
		}
		if err != nil {
			event.RecordInvalid.Log(p.logger, "probes", record.Key, err)
			continue
		}
		claim.Fingerprint = fingerprint
		claims = append(claims, claim)
	}
	return claims
}

// encodeClaims returns the records that remove the claims of the expired fingerprints and then write the given ones.
func encodeClaims(expired []uint64, claims []quarantine.Claim) ([]topiclog.Record, error) {
	records := make([]topiclog.Record, 0, len(expired)+len(claims))
	for _, fingerprint := range expired {
		records = append(records, topiclog.Record{Key: strconv.FormatUint(fingerprint, fingerprintBase)})
	}
	for _, claim := range claims {
		value, err := json.Marshal(claim)
		if err != nil {
			return nil, err
		}
		records = append(records, topiclog.Record{Key: strconv.FormatUint(claim.Fingerprint, fingerprintBase), Value: value})
	}
	return records, nil
}
