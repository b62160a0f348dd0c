package gateway

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/forward"
	"github.com/chicorydale/chicorydale/internal/quarantine"
)

const (
	// probeTimeout limits the time to open the connection that shows whether a target has crashed.
	probeTimeout = 500 * time.Millisecond
	// probeRepeatTime is the time after a probe in which further broken attempts at the same start of a target do not cause
	// another probe.
	probeRepeatTime = 200 * time.Millisecond
	// maxEndCheckTime limits the time that the end of an answer is held up for the check whether the target has crashed. A round trip
	// between regions takes about 25 ms.
	maxEndCheckTime = 100 * time.Millisecond
)

// targetStart identifies one start of a target.
type targetStart struct {
	name           string
	startUnixMilli int64
}

// crash returns the crash with which this start of the target ended.
func (s targetStart) crash() quarantine.Crash {
	return quarantine.Crash{ID: s.name + "/" + strconv.FormatInt(s.startUnixMilli, 10), Target: s.name}
}

// targetProbe is the probe of a target at which attempts broke.
type targetProbe struct {
	// broken holds the fingerprints of each request whose attempt broke without an answer while the probe ran.
	broken [][]uint64
	// crashed is set if the target accepted no connection.
	crashed bool
}

// crashDetector tells targets that crashed from those that broke off a single answer: a target that crashed accepts no
// connection. It is safe for concurrent use.
type crashDetector struct {
	client *forward.Client
	logger zerolog.Logger
	// recordCrash is called with the fingerprints of each request that a target had not answered when it crashed. It must be safe for
	// concurrent use.
	recordCrash func(crash quarantine.Crash, fingerprints []uint64)

	mu sync.Mutex
	// probes holds the probes that run or ended within probeRepeatTime.
	probes map[targetStart]*targetProbe
}

// newCrashDetector returns a detector that opens its connections with the client.
func newCrashDetector(
	client *forward.Client, logger zerolog.Logger, recordCrash func(quarantine.Crash, []uint64),
) *crashDetector {
	return &crashDetector{client: client, logger: logger, recordCrash: recordCrash, probes: make(map[targetStart]*targetProbe)}
}

// attemptBroke starts a probe of a target whose connection was lost in the middle of an attempt. The fingerprints are those of the
// request, or none if the target had begun to answer it.
func (d *crashDetector) attemptBroke(target dispatch.Target, fingerprints []uint64) {
	start := targetStart{name: target.Name, startUnixMilli: target.StartUnixMilli}
	d.mu.Lock()
	defer d.mu.Unlock()
	probe, found := d.probes[start]
	switch {
	case !found:
		d.probes[start] = &targetProbe{broken: [][]uint64{fingerprints}}
		go d.probe(target, start)
	case probe.crashed:
		d.recordCrash(start.crash(), fingerprints)
	default:
		probe.broken = append(probe.broken, fingerprints)
	}
}

// checkEnd returns a *crashedEndError if the target of an answer that ended with its connection accepts no new connection: the
// answer was broken off by the crash then. The opened connection replaces the one that has ended. alive is set if the target has accepted
// it; otherwise, without an error, nothing is known.
func (d *crashDetector) checkEnd(ctx context.Context, target dispatch.Target) (alive bool, err error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(maxEndCheckTime))
	defer cancel()
	err = d.client.Probe(ctx, target.Name, target.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false, &crashedEndError{cause: err}
	}
	return err == nil, nil
}

// probe opens a connection to a target and records a crash if the target accepts none.
func (d *crashDetector) probe(target dispatch.Target, start targetStart) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(probeTimeout))
	defer cancel()
	err := d.client.Probe(ctx, target.Name, target.Address)
	d.mu.Lock()
	defer d.mu.Unlock()
	if isRefusedOrSilent(err) {
		event.TargetCrashed.Log(d.logger, target.Name, err)
		d.probes[start].crashed = true
		for _, fingerprints := range d.probes[start].broken {
			d.recordCrash(start.crash(), fingerprints)
		}
	}
	time.AfterFunc(probeRepeatTime, func() { d.forget(start) })
}

// forget makes the next broken attempt at a target cause another probe.
func (d *crashDetector) forget(start targetStart) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.probes, start)
}

// isRefusedOrSilent reports whether the error of an attempt to connect shows that there is no process at the address. Other errors,
// such as a lack of file descriptors or of processor time, say nothing about the target.
func isRefusedOrSilent(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || isTimeout(err) && !isOwnDelay(err)
}
