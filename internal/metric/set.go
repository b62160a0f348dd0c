package metric

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// Regions of the receiver of a control message, as label values.
const (
	same  = "same"
	other = "other"
)

const (
	// sampleSize is the number of times from which quantiles are told.
	sampleSize = 512
	// sampleDecay makes the times of the last minutes count most.
	sampleDecay = 0.015
)

// Set holds the metrics of one router. It may be used by several goroutines at once.
type Set struct {
	registry metrics.Registry
	refusals map[refusal.Code]metrics.Counter
	retries  map[RetryReason]metrics.Counter
	total    metrics.Counter
	cross    metrics.Counter
	kinds    map[string]metrics.Counter
	gauges   map[Family]metrics.GaugeFloat64
	times    map[Family]metrics.Histogram
}

// New returns a set with every counter and gauge registered at zero, so that a rate exists from the first scrape on.
func New() *Set {
	set := &Set{
		registry: metrics.NewRegistry(),
		refusals: make(map[refusal.Code]metrics.Counter),
		retries:  make(map[RetryReason]metrics.Counter),
		kinds:    make(map[string]metrics.Counter),
		gauges:   make(map[Family]metrics.GaugeFloat64),
		times:    make(map[Family]metrics.Histogram),
	}
	for code := range refusal.Codes() {
		set.refusals[code] = set.counter(fmt.Sprintf("%s{code=%q}", RefusalsTotal, code))
	}
	for _, reason := range RetryReasons() {
		set.retries[reason] = set.counter(fmt.Sprintf("%s{reason=%q}", RetriesTotal, reason))
	}
	set.total = set.counter(string(ControlBytes))
	set.cross = set.counter(string(ControlCrossRegionBytes))
	for _, kind := range MessageKinds() {
		for _, region := range []string{same, other} {
			set.kinds[kind+region] = set.counter(fmt.Sprintf("%s{kind=%q,region=%q}", ControlBytesByKind, kind, region))
		}
	}
	for _, family := range []Family{
		FairnessGap, Utilisation, RequestsWaiting, RequestsRunning, ScheduledPools, Ready, Isolated, ZoneHeardRatio, ConfigVersion, ConfigStaleness,
		LogDroppedLines, MaxLateness,
	} {
		set.gauges[family] = metrics.NewRegisteredGaugeFloat64(string(family), set.registry)
	}
	for _, family := range []Family{FirstByte, RequestDuration} {
		sample := metrics.NewExpDecaySample(sampleSize, sampleDecay)
		set.times[family] = metrics.NewRegisteredHistogram(string(family), set.registry, sample)
	}
	return set
}

// counter registers a counter.
func (s *Set) counter(name string) metrics.Counter {
	return metrics.NewRegisteredCounter(name, s.registry)
}

// MessageKinds returns the kinds of control messages as the fleet protocol names them, in its order.
func MessageKinds() []string {
	fields := (&fleetpb.Body{}).ProtoReflect().Descriptor().Oneofs().ByName("kind").Fields()
	kinds := make([]string, fields.Len())
	for i := range kinds {
		kinds[i] = string(fields.Get(i).Name())
	}
	return kinds
}

// MessageKind returns the kind of a control message, empty if it has none.
func MessageKind(body *fleetpb.Body) string {
	message := body.ProtoReflect()
	field := message.WhichOneof(message.Descriptor().Oneofs().ByName("kind"))
	if field == nil {
		return ""
	}
	return string(field.Name())
}

// Registry returns the registry of the set, for Handler and for further metrics.
func (s *Set) Registry() metrics.Registry { return s.registry }

// CountRefusal counts a refused request; a code that is not listed counts as internal.
func (s *Set) CountRefusal(code refusal.Code) {
	counter, found := s.refusals[code]
	if !found {
		counter = s.refusals[refusal.Internal]
	}
	counter.Inc(1)
}

// CountRetry counts a retry; a reason that is not listed is not counted.
func (s *Set) CountRetry(reason RetryReason) {
	if counter, found := s.retries[reason]; found {
		counter.Inc(1)
	}
}

// Sent counts the bytes of a control message to a router of the same region or of another one. Bytes of a kind that is
// not listed, such as framing, count in the totals only.
func (s *Set) Sent(kind string, cross bool, bytes int) {
	region := same
	if cross {
		region = other
		s.cross.Inc(int64(bytes))
	}
	s.total.Inc(int64(bytes))
	if counter, found := s.kinds[kind+region]; found {
		counter.Inc(int64(bytes))
	}
}

// SetGauge sets a gauge; a family that is no gauge is left alone.
func (s *Set) SetGauge(gauge Family, value float64) {
	if found, ok := s.gauges[gauge]; ok {
		found.Update(value)
	}
}

// ObserveDuration adds a time to a histogram; a family that is none is left alone.
func (s *Set) ObserveDuration(histogram Family, took time.Duration) {
	if found, ok := s.times[histogram]; ok {
		found.Update(took.Microseconds())
	}
}

// CounterValues returns the value of every counter by its name with labels, for the operators' API.
func (s *Set) CounterValues() map[string]int64 {
	values := make(map[string]int64)
	s.registry.Each(func(name string, metric any) {
		if counter, ok := metric.(metrics.Counter); ok {
			values[name] = counter.Count()
		}
	})
	return values
}
