package gateway

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/topiclog"
)

// EraSettlement exports the settlement of one router.
type EraSettlement struct{ *eraSettlement }

// NewEraSettlement returns the settlement of a router that follows the topic and writes to it until ctx ends.
func NewEraSettlement(ctx context.Context, topic topiclog.Topic) EraSettlement {
	s := newEraSettlement(topic, topiclog.NewEraTracker(), zerolog.Nop())
	go topiclog.NewFollower(topic, s, routerPollWait, routerPollInterval).WithEras(s.eras).Run(ctx)
	go s.record(ctx)
	return EraSettlement{s}
}

// Covers reports whether a read that is complete as of a time has what was written before the newest era began.
func (s EraSettlement) Covers(asOf time.Time) bool { return s.covers(asOf) }
