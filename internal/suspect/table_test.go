package suspect_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/suspect"
)

const (
	culprit  = 666
	second   = 667
	innocent = 1
)

var start = time.UnixMilli(1_800_000_000_000)

// fleet is some linked routers and the log, in virtual time.
type fleet struct {
	now    time.Time
	tables map[string]*suspect.Table
	log    []outside.Record
	down   bool
	// loses is set if appends take effect and their answers are lost.
	loses   bool
	appends int
}

func newFleet(names ...string) *fleet {
	f := &fleet{now: start, tables: make(map[string]*suspect.Table)}
	for _, name := range names {
		f.restart(name)
	}
	return f
}

// restart replaces the table of a router and links it again.
func (f *fleet) restart(name string) {
	f.tables[name] = suspect.NewTable(name, suspect.DefaultLimits())
	for other, table := range f.tables {
		if other != name {
			table.Connected(f.now, name, 1)
			f.tables[name].Connected(f.now, other, 1)
		}
	}
}

// pass lets time go by in steps of 100 ms.
func (f *fleet) pass(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		for _, table := range f.tables {
			f.read(table)
		}
		for _, name := range slices.Sorted(maps.Keys(f.tables)) {
			table := f.tables[name]
			effects := table.Tick(f.now)
			for _, envelope := range effects.Envelopes {
				f.tables[envelope.To].Receive(f.now, name, envelope.Body)
			}
			for _, each := range effects.Appends {
				table.Appended(f.now, each.ID, f.append(each.Data))
			}
		}
	}
}

func (f *fleet) read(table *suspect.Table) {
	position := table.Positions()[0]
	if f.down {
		table.ReadFailed(f.now, position.Stream)
		return
	}
	page := outside.Page{Records: f.log[position.Offset:], EndOffset: uint64(len(f.log))}
	table.Page(f.now, position.Stream, page)
}

func (f *fleet) append(data []byte) error {
	if f.down {
		return &outside.UnavailableError{System: "log", Cause: errors.New("down")}
	}
	f.appends++
	f.log = append(f.log, outside.Record{Offset: uint64(len(f.log)), AppendedAt: f.now, Data: data})
	if f.loses {
		return &outside.UnsettledError{Stream: suspect.Stream, Cause: errors.New("lost")}
	}
	return nil
}

// check compares the verdicts of all routers on a request.
func (f *fleet) check(c *qt.C, fingerprint uint64, want suspect.Verdict) {
	c.Helper()
	for name, table := range f.tables {
		c.Check(table.Classify(f.now, fingerprint), qt.Equals, want, qt.Commentf("%s on %d", name, fingerprint))
	}
}

// TestCulprit guards against a culprit that runs a third time at a router that saw none of its crashes, against a refusal
// of an innocent request that shared a target with it, and against the loss of records with any one router, whether the
// log is up, loses answers or is down until later.
func TestCulprit(t *testing.T) {
	for _, log := range []string{"up", "loses answers", "down"} {
		for _, lost := range []string{"", "r0", "r1", "r2"} {
			t.Run(log+" without "+lost, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet("r0", "r1", "r2")
				f.down, f.loses = log == "down", log == "loses answers"
				f.pass(time.Second)
				f.tables["r0"].RecordCrash(f.now, "t1", "t1/1", []uint64{culprit, 10, 11})
				f.tables["r1"].RecordCrash(f.now, "t1", "t1/1", []uint64{innocent})
				f.tables["r0"].RecordCrash(f.now, "t1", "t1/1", []uint64{culprit, 10, 11})
				f.pass(200 * time.Millisecond)
				f.check(c, culprit, suspect.VerdictSuspect)
				f.check(c, innocent, suspect.VerdictSuspect)
				f.check(c, 12, suspect.VerdictClear)
				f.tables["r1"].RecordCrash(f.now, "t2", "t2/1", []uint64{culprit, 12})
				f.tables["r1"].RecordCrash(f.now, "t2", "t2/1", []uint64{culprit, 12})
				f.pass(200 * time.Millisecond)
				f.check(c, culprit, suspect.VerdictQuarantined)
				f.check(c, innocent, suspect.VerdictSuspect)
				if lost != "" {
					delete(f.tables, lost)
					for _, table := range f.tables {
						table.Disconnected(f.now, lost)
					}
				}
				f.down = false
				f.pass(time.Minute)
				// Only the log tells a new router that has no link.
				f.tables = map[string]*suspect.Table{"r9": suspect.NewTable("r9", suspect.DefaultLimits())}
				f.pass(time.Second)
				f.check(c, culprit, suspect.VerdictQuarantined)
				f.check(c, innocent, suspect.VerdictSuspect)
				c.Check(log != "up" || f.appends == 3, qt.IsTrue, qt.Commentf("%d appends", f.appends))
			})
		}
	}
}

// TestRestartWhileLogIsDown guards against a router that runs a culprit again because it cannot read the log.
func TestRestartWhileLogIsDown(t *testing.T) {
	c := qt.New(t)
	f := newFleet("r0", "r1", "r2")
	f.tables["r0"].RecordCrash(f.now, "t1", "t1/1", []uint64{culprit})
	f.pass(5 * time.Second)
	f.down = true
	f.pass(time.Second)
	f.restart("r0")
	f.pass(time.Second)
	f.check(c, culprit, suspect.VerdictSuspect)
}

// TestTwoCulprits guards against culprits that hide each other, and against the refusal of an innocent request that met
// both: its second crash tells as much of it as of the other suspect.
func TestTwoCulprits(t *testing.T) {
	c := qt.New(t)
	f := newFleet("r0", "r1")
	f.tables["r0"].RecordCrash(f.now, "t1", "t1/1", []uint64{culprit, innocent})
	f.tables["r1"].RecordCrash(f.now, "t1", "t1/1", []uint64{second})
	f.pass(time.Second)
	f.tables["r0"].RecordCrash(f.now, "t2", "t2/1", []uint64{culprit})
	f.tables["r1"].RecordCrash(f.now, "t2", "t2/1", []uint64{innocent})
	f.pass(time.Second)
	f.check(c, culprit, suspect.VerdictSuspect)
	f.check(c, innocent, suspect.VerdictSuspect)
	f.tables["r0"].RecordCrash(f.now, "t3", "t3/1", []uint64{culprit})
	f.tables["r1"].RecordCrash(f.now, "t4", "t4/1", []uint64{second})
	f.pass(time.Second)
	f.check(c, culprit, suspect.VerdictQuarantined)
	f.check(c, second, suspect.VerdictQuarantined)
	f.check(c, innocent, suspect.VerdictSuspect)
}

// TestGarbage guards against garbage that changes a verdict.
func TestGarbage(t *testing.T) {
	c := qt.New(t)
	f := newFleet("r0")
	f.tables["r0"].RecordCrash(f.now, "t1", "t1/1", []uint64{culprit})
	f.pass(time.Second)
	good := f.log[0].Data
	for i := range good {
		damaged := append([]byte(nil), good...)
		damaged[i] ^= 4
		c.Check(f.append(damaged), qt.IsNil)
	}
	c.Check(f.append(nil), qt.IsNil)
	f.pass(time.Second)
	table := f.tables["r0"]
	for _, record := range []*fleetpb.CrashRecord{
		{Fingerprint: culprit, Crash: "x", Expiry: f.now.Add(48 * time.Hour).UnixMilli()},
		{Fingerprint: culprit, Expiry: f.now.Add(time.Minute).UnixMilli()},
		{Fingerprint: culprit, Crash: "\xff", Expiry: f.now.Add(time.Minute).UnixMilli()},
		{Fingerprint: culprit, Crash: "y", Expiry: f.now.Add(-time.Minute).UnixMilli()},
	} {
		records := &fleetpb.CrashRecords{Records: []*fleetpb.CrashRecord{record}}
		table.Receive(f.now, "r1", &fleetpb.Body{Kind: &fleetpb.Body_CrashRecords{CrashRecords: records}})
	}
	f.check(c, culprit, suspect.VerdictSuspect)
	c.Check(table.DroppedCount(), qt.Equals, len(good)+1+3)
}

// TestBound guards against a table that grows without bound or forgets a quarantined request first.
func TestBound(t *testing.T) {
	c := qt.New(t)
	f := newFleet("r0")
	f.tables["r0"].RecordCrash(f.now, "t1", "a", []uint64{culprit})
	f.tables["r0"].RecordCrash(f.now.Add(time.Second), "t2", "b", []uint64{culprit})
	for i := range uint64(30_000) {
		f.tables["r0"].RecordCrash(f.now.Add(time.Minute), "t3", fmt.Sprint(i), []uint64{1000 + i})
	}
	limits := suspect.DefaultLimits()
	c.Check(f.tables["r0"].RecordCount() <= limits.MaxRecords, qt.IsTrue)
	f.check(c, culprit, suspect.VerdictQuarantined)
	f.now = f.now.Add(limits.RecordLifetime + 2*time.Minute)
	f.check(c, culprit, suspect.VerdictClear)
	c.Check(f.tables["r0"].RecordCount(), qt.Equals, 0)
}
