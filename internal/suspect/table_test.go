package suspect_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/suspect"
)

const (
	// crasher and secondCrasher crash each target on which they run; harmless only shares targets with them.
	crasher       = 666
	secondCrasher = 667
	harmless      = 1
)

var startTime = time.UnixMilli(1_800_000_000_000)

// fleet is several linked routers and a log in virtual time.
type fleet struct {
	now        time.Time
	tables     map[string]*suspect.Table
	logRecords []external.Record
	logDown    bool
	// losesResults is set while appends take effect but their results are lost.
	losesResults bool
	appendCount  int
}

// newFleet returns a fleet of linked routers with empty tables.
func newFleet(names ...string) *fleet {
	f := &fleet{now: startTime, tables: make(map[string]*suspect.Table)}
	for _, name := range names {
		f.restart(name)
	}
	return f
}

// restart replaces the table of a router by an empty one and links it with all others.
func (f *fleet) restart(name string) {
	f.tables[name] = suspect.NewTable(name, suspect.DefaultLimits())
	for other, table := range f.tables {
		if other != name {
			table.Connected(f.now, name, 1)
			f.tables[name].Connected(f.now, other, 1)
		}
	}
}

// advance advances the time in steps of 100 ms and runs all routers in each step.
func (f *fleet) advance(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		for _, table := range f.tables {
			f.readLog(table)
		}
		for _, name := range slices.Sorted(maps.Keys(f.tables)) {
			table := f.tables[name]
			effects := table.Tick(f.now)
			for _, envelope := range effects.Envelopes {
				f.tables[envelope.To].Receive(f.now, name, envelope.Body)
			}
			for _, appended := range effects.Appends {
				table.Appended(f.now, appended.ID, f.appendToLog(appended.Data))
			}
		}
	}
}

// readLog lets a table read the log up to its end.
func (f *fleet) readLog(table *suspect.Table) {
	position := table.Positions()[0]
	if f.logDown {
		table.ReadFailed(f.now, position.Stream)
		return
	}
	page := external.Page{Records: f.logRecords[position.Offset:], EndOffset: uint64(len(f.logRecords))}
	table.Page(f.now, position.Stream, page)
}

// appendToLog appends a log record and returns the result of the append.
func (f *fleet) appendToLog(data []byte) error {
	if f.logDown {
		return &external.UnavailableError{System: "log", Cause: errors.New("down")}
	}
	f.appendCount++
	f.logRecords = append(f.logRecords, external.Record{Offset: uint64(len(f.logRecords)), AppendedAt: f.now, Data: data})
	if f.losesResults {
		return &external.UnsettledError{Stream: suspect.Stream, Cause: errors.New("lost")}
	}
	return nil
}

// checkVerdict checks the verdict of all routers on a request.
func (f *fleet) checkVerdict(c *qt.C, fingerprint uint64, want suspect.Verdict) {
	c.Helper()
	for name, table := range f.tables {
		c.Check(table.Classify(f.now, fingerprint), qt.Equals, want, qt.Commentf("%s on %d", name, fingerprint))
	}
}

// TestQuarantineAfterTwoCrashes guards against a crashing request that runs a third time because a router does not know of its
// crashes, against the refusal of a request that only shared a target with it, and against records that are lost with a router.
// It runs with a log that is up, that loses the results of appends, and that is down until after the crashes.
func TestQuarantineAfterTwoCrashes(t *testing.T) {
	for _, logState := range []string{"up", "loses results", "down"} {
		for _, lostRouter := range []string{"", "r0", "r1", "r2"} {
			t.Run(logState+" without "+lostRouter, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet("r0", "r1", "r2")
				f.logDown, f.losesResults = logState == "down", logState == "loses results"
				f.advance(time.Second)
				f.tables["r0"].RecordCrash(f.now, "t1", "t1/1", []uint64{crasher, 10, 11})
				f.tables["r1"].RecordCrash(f.now, "t1", "t1/1", []uint64{harmless})
				f.tables["r0"].RecordCrash(f.now, "t1", "t1/1", []uint64{crasher, 10, 11})
				f.advance(200 * time.Millisecond)
				f.checkVerdict(c, crasher, suspect.VerdictSuspect)
				f.checkVerdict(c, harmless, suspect.VerdictSuspect)
				f.checkVerdict(c, 12, suspect.VerdictClear)
				f.tables["r1"].RecordCrash(f.now, "t2", "t2/1", []uint64{crasher, 12})
				f.tables["r1"].RecordCrash(f.now, "t2", "t2/1", []uint64{crasher, 12})
				f.advance(200 * time.Millisecond)
				f.checkVerdict(c, crasher, suspect.VerdictQuarantined)
				f.checkVerdict(c, harmless, suspect.VerdictSuspect)
				if lostRouter != "" {
					delete(f.tables, lostRouter)
					for _, table := range f.tables {
						table.Disconnected(f.now, lostRouter)
					}
				}
				f.logDown = false
				f.advance(time.Minute)
				// The new router has no link, so it can learn of the crashes only from the log.
				f.tables = map[string]*suspect.Table{"r9": suspect.NewTable("r9", suspect.DefaultLimits())}
				f.advance(time.Second)
				f.checkVerdict(c, crasher, suspect.VerdictQuarantined)
				f.checkVerdict(c, harmless, suspect.VerdictSuspect)
				c.Check(logState != "up" || f.appendCount == 3, qt.IsTrue, qt.Commentf("%d appends", f.appendCount))
			})
		}
	}
}

// TestRestartWhileLogIsDown guards against a restarted router that runs a suspect without precautions, because it cannot read
// the log and its peers do not send it their records.
func TestRestartWhileLogIsDown(t *testing.T) {
	c := qt.New(t)
	f := newFleet("r0", "r1", "r2")
	f.tables["r0"].RecordCrash(f.now, "t1", "t1/1", []uint64{crasher})
	f.advance(5 * time.Second)
	f.logDown = true
	f.advance(time.Second)
	f.restart("r0")
	f.advance(time.Second)
	f.checkVerdict(c, crasher, suspect.VerdictSuspect)
}

// TestTwoCrashersOnOneTarget guards against two crashing requests that are never quarantined because each crash is attributed to
// the other, and against the refusal of a harmless request that shared a target with both: its second crash is as much evidence
// against the other suspect.
func TestTwoCrashersOnOneTarget(t *testing.T) {
	c := qt.New(t)
	f := newFleet("r0", "r1")
	f.tables["r0"].RecordCrash(f.now, "t1", "t1/1", []uint64{crasher, harmless})
	f.tables["r1"].RecordCrash(f.now, "t1", "t1/1", []uint64{secondCrasher})
	f.advance(time.Second)
	f.tables["r0"].RecordCrash(f.now, "t2", "t2/1", []uint64{crasher})
	f.tables["r1"].RecordCrash(f.now, "t2", "t2/1", []uint64{harmless})
	f.advance(time.Second)
	f.checkVerdict(c, crasher, suspect.VerdictSuspect)
	f.checkVerdict(c, harmless, suspect.VerdictSuspect)
	f.tables["r0"].RecordCrash(f.now, "t3", "t3/1", []uint64{crasher})
	f.tables["r1"].RecordCrash(f.now, "t4", "t4/1", []uint64{secondCrasher})
	f.advance(time.Second)
	f.checkVerdict(c, crasher, suspect.VerdictQuarantined)
	f.checkVerdict(c, secondCrasher, suspect.VerdictQuarantined)
	f.checkVerdict(c, harmless, suspect.VerdictSuspect)
}

// TestMalformedRecordsIgnored guards against damaged log records and invalid crash records of peers that change a verdict.
func TestMalformedRecordsIgnored(t *testing.T) {
	c := qt.New(t)
	f := newFleet("r0")
	f.tables["r0"].RecordCrash(f.now, "t1", "t1/1", []uint64{crasher})
	f.advance(time.Second)
	validData := f.logRecords[0].Data
	for i := range validData {
		damaged := append([]byte(nil), validData...)
		damaged[i] ^= 4
		c.Check(f.appendToLog(damaged), qt.IsNil)
	}
	c.Check(f.appendToLog(nil), qt.IsNil)
	f.advance(time.Second)
	table := f.tables["r0"]
	for _, record := range []*fleetpb.CrashRecord{
		{Fingerprint: crasher, Crash: "x", Expiry: f.now.Add(48 * time.Hour).UnixMilli()},
		{Fingerprint: crasher, Expiry: f.now.Add(time.Minute).UnixMilli()},
		{Fingerprint: crasher, Crash: "\xff", Expiry: f.now.Add(time.Minute).UnixMilli()},
		{Fingerprint: crasher, Crash: "y", Expiry: f.now.Add(-time.Minute).UnixMilli()},
	} {
		records := &fleetpb.CrashRecords{Records: []*fleetpb.CrashRecord{record}}
		table.Receive(f.now, "r1", &fleetpb.Body{Kind: &fleetpb.Body_CrashRecords{CrashRecords: records}})
	}
	f.checkVerdict(c, crasher, suspect.VerdictSuspect)
	c.Check(table.DroppedCount(), qt.Equals, len(validData)+1+3)
}

// TestRecordLimit guards against a table that grows without bound, and against the eviction of a quarantined request before
// others.
func TestRecordLimit(t *testing.T) {
	c := qt.New(t)
	f := newFleet("r0")
	f.tables["r0"].RecordCrash(f.now, "t1", "a", []uint64{crasher})
	f.tables["r0"].RecordCrash(f.now.Add(time.Second), "t2", "b", []uint64{crasher})
	for i := range uint64(30_000) {
		f.tables["r0"].RecordCrash(f.now.Add(time.Minute), "t3", fmt.Sprint(i), []uint64{1000 + i})
	}
	limits := suspect.DefaultLimits()
	c.Check(f.tables["r0"].RecordCount() <= limits.MaxRecords, qt.IsTrue)
	f.checkVerdict(c, crasher, suspect.VerdictQuarantined)
	f.now = f.now.Add(limits.RecordLifetime + 2*time.Minute)
	f.checkVerdict(c, crasher, suspect.VerdictClear)
	c.Check(f.tables["r0"].RecordCount(), qt.Equals, 0)
}
