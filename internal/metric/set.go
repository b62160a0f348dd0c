package metric

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// Values of the label "region": whether the receiver of a control message is in the region of this router.
const (
	sameRegion  = "same"
	otherRegion = "other"
)

const (
	// sampleSize is the number of durations that a histogram keeps for its quantiles.
	sampleSize = 512
	// sampleDecay is the decay factor per second of the sample, which prefers the durations of the last few minutes.
	sampleDecay = 0.015
)

// Set holds the metrics of one router. It is safe for concurrent use.
type Set struct {
	registry         metrics.Registry
	refusals         map[refusal.Code]metrics.Counter
	earlyExpiries    metrics.Counter
	retries          map[RetryReason]metrics.Counter
	promptTokens     map[TokenSource]metrics.Counter
	idleCloses       map[IdleCloseReason]metrics.Counter
	crossedRequests  metrics.Counter
	controlBytes     metrics.Counter
	crossRegionBytes metrics.Counter
	// bytesByKind has a counter for each kind of control message followed by sameRegion or otherRegion.
	bytesByKind map[string]metrics.Counter
	gauges      map[Family]metrics.GaugeFloat64
	histograms  map[Family]metrics.Histogram
}

// New returns a set in which every counter, gauge and histogram is registered. Counters start at zero, so that Prometheus can
// compute a rate from the first scrape on.
func New() *Set {
	set := &Set{
		registry: metrics.NewRegistry(),
		refusals: make(map[refusal.Code]metrics.Counter),
		retries:  make(map[RetryReason]metrics.Counter),

		promptTokens: make(map[TokenSource]metrics.Counter),
		idleCloses:   make(map[IdleCloseReason]metrics.Counter),
		bytesByKind:  make(map[string]metrics.Counter),
		gauges:       make(map[Family]metrics.GaugeFloat64),
		histograms:   make(map[Family]metrics.Histogram),
	}
	for code := range refusal.Codes() {
		set.refusals[code] = set.newCounter(fmt.Sprintf("%s{code=%q}", RefusalsTotal, code))
	}
	for _, reason := range RetryReasons() {
		set.retries[reason] = set.newCounter(fmt.Sprintf("%s{reason=%q}", RetriesTotal, reason))
	}
	for _, source := range TokenSources() {
		set.promptTokens[source] = set.newCounter(fmt.Sprintf("%s{source=%q}", PromptTokensTotal, source))
	}
	for _, reason := range IdleCloseReasons() {
		set.idleCloses[reason] = set.newCounter(fmt.Sprintf("%s{reason=%q}", IdleClosesTotal, reason))
	}
	set.crossedRequests = set.newCounter(string(CrossedRequestsTotal))
	set.earlyExpiries = set.newCounter(string(EarlyExpiriesTotal))
	set.controlBytes = set.newCounter(string(ControlBytes))
	set.crossRegionBytes = set.newCounter(string(ControlCrossRegionBytes))
	for _, kind := range MessageKinds() {
		for _, region := range []string{sameRegion, otherRegion} {
			set.bytesByKind[kind+region] = set.newCounter(fmt.Sprintf("%s{kind=%q,region=%q}", ControlBytesByKind, kind, region))
		}
	}
	for _, family := range []Family{
		FairnessGap, Utilisation, RequestsWaiting, RequestsRunning, ScheduledPools, Quarantined, Ready, Isolated, ZoneHeardRatio,
		ConfigVersion, ConfigStaleness, LogDroppedLines, MaxLateness, TargetsLeaving, TargetsPaused, TargetPauseSeconds,
		BodyBudget, BodyHeld, BodyRefused,
	} {
		set.gauges[family] = metrics.NewRegisteredGaugeFloat64(string(family), set.registry)
	}
	for _, family := range []Family{FirstByte, RequestDuration} {
		sample := metrics.NewExpDecaySample(sampleSize, sampleDecay)
		set.histograms[family] = metrics.NewRegisteredHistogram(string(family), set.registry, sample)
	}
	return set
}

// newCounter registers a counter under a name with its labels.
func (s *Set) newCounter(name string) metrics.Counter {
	return metrics.NewRegisteredCounter(name, s.registry)
}

// MessageKinds returns the kinds of control messages: the field names of the oneof "kind" of fleetpb.Body, in their order.
func MessageKinds() []string {
	fields := (&fleetpb.Body{}).ProtoReflect().Descriptor().Oneofs().ByName("kind").Fields()
	kinds := make([]string, fields.Len())
	for i := range kinds {
		kinds[i] = string(fields.Get(i).Name())
	}
	return kinds
}

// MessageKind returns the kind of a control message, or an empty string if none is set.
func MessageKind(body *fleetpb.Body) string {
	message := body.ProtoReflect()
	field := message.WhichOneof(message.Descriptor().Oneofs().ByName("kind"))
	if field == nil {
		return ""
	}
	return string(field.Name())
}

// Registry returns the registry of the set, for Handler and to register further metrics.
func (s *Set) Registry() metrics.Registry { return s.registry }

// CountRefusal counts a refused request. An unknown code counts as refusal.Internal.
func (s *Set) CountRefusal(code refusal.Code) { s.CountRefusals(code, 1) }

// CountRefusals counts a number of refused requests. An unknown code counts as refusal.Internal.
func (s *Set) CountRefusals(code refusal.Code, count int64) {
	counter, found := s.refusals[code]
	if !found {
		counter = s.refusals[refusal.Internal]
	}
	counter.Inc(count)
}

// CountEarlyExpiry counts a request that expired although its caller may have been there.
func (s *Set) CountEarlyExpiry() { s.earlyExpiries.Inc(1) }

// CountRetry counts a retry. An unknown reason is ignored.
func (s *Set) CountRetry(reason RetryReason) {
	if counter, found := s.retries[reason]; found {
		counter.Inc(1)
	}
}

// Sent counts the bytes of a control message that was sent to another router; crossRegion tells whether that router is in
// another region. Bytes of an unknown kind, such as framing, are counted only in the totals.
func (s *Set) Sent(kind string, crossRegion bool, bytes int) {
	region := sameRegion
	if crossRegion {
		region = otherRegion
		s.crossRegionBytes.Inc(int64(bytes))
	}
	s.controlBytes.Inc(int64(bytes))
	if counter, found := s.bytesByKind[kind+region]; found {
		counter.Inc(int64(bytes))
	}
}

// SetGauge sets a gauge to a value. A family that is not a gauge is ignored.
func (s *Set) SetGauge(family Family, value float64) {
	if gauge, found := s.gauges[family]; found {
		gauge.Update(value)
	}
}

// ObserveDuration adds a duration to a histogram, which stores it in microseconds. A family that is not a histogram is ignored.
func (s *Set) ObserveDuration(family Family, duration time.Duration) {
	if histogram, found := s.histograms[family]; found {
		histogram.Update(duration.Microseconds())
	}
}

// CounterValues returns the values of all counters by name with labels, for the operators' API.
func (s *Set) CounterValues() map[string]int64 {
	values := make(map[string]int64)
	s.registry.Each(func(name string, metric any) {
		if counter, ok := metric.(metrics.Counter); ok {
			values[name] = counter.Count()
		}
	})
	return values
}
