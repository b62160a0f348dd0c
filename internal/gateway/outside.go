package gateway

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/keyed"
	"github.com/chicorydale/chicorydale/internal/route"
)

// Adapters holds the adapters to the systems outside of the fleet.
type Adapters struct {
	// ConfigTopic is the topic of the configuration, Targets that of the targets, Routers that by which the routers
	// find each other.
	ConfigTopic, TargetTopic, RouterTopic keyed.Topic
	// DecodeTable decodes a record of the configuration; it returns nil for a record of another kind.
	DecodeTable func(record keyed.Record) (*route.Table, error)
	// DecodeTarget decodes a record of a target at an instant.
	DecodeTarget func(record keyed.Record, now time.Time) (dispatch.Target, error)
	// Codec translates the headers of callers and targets.
	Codec Codec
}
