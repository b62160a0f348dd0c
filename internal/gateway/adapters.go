package gateway

import (
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/route"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

// Adapters connect a gateway to the systems outside of the fleet.
type Adapters struct {
	// ConfigTopic holds the configuration, TargetTopic the records of the targets, RouterTopic the records by which routers find
	// each other, and QuarantineTopic what is quarantined.
	ConfigTopic, TargetTopic, RouterTopic, QuarantineTopic topiclog.Topic
	// ProbeTopic holds the claims of probes of what is quarantined.
	ProbeTopic topiclog.ConditionalTopic
	// BuildTopic holds the builds of the targets' software at which streams may have begun.
	BuildTopic topiclog.ConditionalTopic
	// EraTopic holds which era of the store is settled.
	EraTopic topiclog.Topic
	// OriginTopic holds where streams began, in records without keys that expire.
	OriginTopic topiclog.Topic
	// DecodeTable decodes a record of ConfigTopic. It returns nil without an error for records that hold no routing table.
	DecodeTable func(record topiclog.Record) (*route.Table, error)
	// DecodeTarget decodes a record of TargetTopic that was read at the time now.
	DecodeTarget func(record topiclog.Record, now time.Time) (dispatch.Target, error)
	// Codec translates the headers of callers and targets.
	Codec Codec
}
