package gateway

import (
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
	"github.com/chicorydale/chicorydale/internal/overload"
)

const (
	// loadPeriod is the time between measurements of the processor time that is left.
	loadPeriod = 250 * time.Millisecond
	// loadRepeatPeriod is the time after which an unchanged report is sent again.
	loadRepeatPeriod = time.Second
	// maxReportedLateness is the delay of periodic work from which a router reports that it has no processor time left.
	maxReportedLateness = 50 * time.Millisecond
	// reportedChange is the part of the processor time of a router by which a report must change to be sent at once.
	reportedChange = 0.125
)

// loadReports tells the routers of the availability zone how much processor time this one has left, and takes their reports. Its methods
// belong to the goroutine that handles events of the links.
type loadReports struct {
	handovers *handovers
	logger    zerolog.Logger
	// share is the part of a core that this router may use, zero if that is not known.
	share float64
	// address is where this router takes connections of peers.
	address string
	// takesMore reports whether this router takes new requests.
	takesMore func() bool
	zonePeers map[string]bool
	rotation  *overload.Rotation
	// absent is set while this router is out of the rotation of the load balancer for lack of processor time. It may be read by any
	// goroutine.
	absent atomic.Bool

	measuredAt time.Time
	cpuTime    time.Duration
	lateness   time.Duration
	spare      time.Duration
	sentAt     time.Time
	sentSpare  time.Duration
	sentAbsent bool
	// sentVersion is the version of the configuration in the last report.
	sentVersion uint64
}

// peerConnected starts to send reports to a peer of the same availability zone.
func (l *loadReports) peerConnected(peer string) {
	l.zonePeers[peer] = true
	l.sentAt = time.Time{}
}

// peerDisconnected ends the exchange with a peer.
func (l *loadReports) peerDisconnected(peer string) {
	delete(l.zonePeers, peer)
	l.rotation.RemovePeer(peer)
	l.handovers.peerDisconnected(time.Now(), peer)
}

// receive handles the report of a peer.
func (l *loadReports) receive(from string, report *fleetpb.ProcessorLoad) {
	if !l.zonePeers[from] {
		return
	}
	spare := time.Duration(report.GetSpareUs()) * time.Microsecond
	if report.GetAddress() == "" {
		spare = 0
	} else if _, err := netip.ParseAddrPort(report.GetAddress()); err != nil {
		event.RecordInvalid.Log(l.logger, "processor load", from, err)
		spare = 0
	}
	l.rotation.RecordPeer(from, report.GetAbsent())
	l.handovers.setPeer(time.Now(), from, handoverPeer{
		address: report.GetAddress(), readsWait: report.GetReadsWait(), confirms: report.GetConfirms(),
		configVersion: report.GetConfigVersion(),
	}, spare)
}

// tick measures the processor time and returns the reports that are due.
func (l *loadReports) tick(now time.Time, lateness time.Duration) []message.Envelope {
	l.lateness = max(l.lateness, lateness)
	l.rotation.RecordLateness(now, lateness)
	l.absent.Store(l.rotation.IsAbsent(now))
	l.handovers.checkLost(now)
	l.handovers.endOverdue(now)
	if now.Sub(l.measuredAt) >= loadPeriod {
		l.measure(now)
	}
	if len(l.zonePeers) == 0 || !l.isDue(now) {
		return nil
	}
	l.sentAt, l.sentSpare, l.sentAbsent, l.sentVersion = now, l.spare, l.absent.Load(), l.handovers.configVersion()
	report := &fleetpb.ProcessorLoad{
		SpareUs: uint32(l.spare.Microseconds()), Address: l.address, Absent: l.sentAbsent, ReadsWait: true, Confirms: true,
		ConfigVersion: l.sentVersion,
	}
	envelopes := make([]message.Envelope, 0, len(l.zonePeers))
	for peer := range l.zonePeers {
		envelopes = append(envelopes, message.Envelope{To: peer, Body: &fleetpb.Body{Kind: &fleetpb.Body_ProcessorLoad{ProcessorLoad: report}}})
	}
	return envelopes
}

// isDue reports whether the report has changed, or was last sent long ago.
func (l *loadReports) isDue(now time.Time) bool {
	change := math.Abs(float64(l.spare - l.sentSpare))
	hasChanged := change > reportedChange*l.share*float64(time.Second) || l.absent.Load() != l.sentAbsent || l.handovers.configVersion() != l.sentVersion
	return hasChanged || now.Sub(l.sentAt) >= loadRepeatPeriod
}

// measure updates the processor time that is left per second.
func (l *loadReports) measure(now time.Time) {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) != nil {
		return
	}
	cpuTime := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	used := float64(cpuTime-l.cpuTime) / float64(now.Sub(l.measuredAt))
	l.spare = max(time.Duration((l.share-used)*float64(time.Second)), 0)
	if l.lateness > maxReportedLateness || !l.takesMore() {
		l.spare = 0
	}
	l.measuredAt, l.cpuTime, l.lateness = now, cpuTime, 0
}
