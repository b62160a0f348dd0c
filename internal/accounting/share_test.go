package accounting_test

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chicorydale/chicorydale/internal/accounting"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/message"
)

// init makes rapid draw the same cases in each run, unless flags change that, and write no failure files.
func init() {
	for name, value := range map[string]string{"seed": "1", "checks": "200", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
}

const model = "drafts"

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// toOwner is a RouteFunc that gives one owner for all shards, without a period.
func toOwner(uint32) (string, time.Duration) { return "owner", 0 }

// exchangeReports delivers the reports of a ledger to an owner, and the answers to the ledger.
func exchangeReports(now time.Time, ledger *accounting.Ledger, from string, owner *accounting.Owner) {
	for _, envelope := range ledger.DueReports(now, 4, toOwner) {
		owner.Receive(now, from, envelope.Body.GetReport())
	}
	for _, envelope := range owner.Tick(now) {
		ledger.Receive(envelope.Body.GetTotals())
	}
}

// TestTotalsAreExact guards against service that is counted twice or not at all when reports are repeated, late or reordered, or
// when schedulers restart.
func TestTotalsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owner := accounting.NewOwner()
		ledgers := [2]*accounting.Ledger{accounting.NewLedger(model, "z/drafts/0", 1), accounting.NewLedger(model, "z/drafts/1", 1)}
		var sent []message.Envelope
		var senders []string
		served, incarnation, now := uint64(0), uint64(1), start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			i := rapid.IntRange(0, 1).Draw(t, "ledger")
			from := []string{"r0", "r1"}[i]
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				units := rapid.Uint64Range(0, 1000).Draw(t, "units")
				ledgers[i].Charge(7, units)
				served += units
				for _, envelope := range ledgers[i].DueReports(now, 4, toOwner) {
					sent, senders = append(sent, envelope), append(senders, from)
					owner.Receive(now, from, envelope.Body.GetReport())
				}
			case 2:
				if len(sent) > 0 {
					late := rapid.IntRange(0, len(sent)-1).Draw(t, "late")
					owner.Receive(now, senders[late], sent[late].Body.GetReport())
				}
			case 3:
				incarnation++
				ledgers[i] = accounting.NewLedger(model, "z/drafts/"+string(rune('0'+i)), incarnation)
			case 4:
				for _, envelope := range owner.Tick(now) {
					ledgers[i].Receive(envelope.Body.GetTotals())
				}
			}
		}
		if total := owner.Total(model, 7); total != served {
			t.Fatalf("total %d instead of %d", total, served)
		}
	})
}

// TestNewOwner guards against a new owner whose totals stay at zero, and against one that counts earlier service again when a
// scheduler reports to it late.
func TestNewOwner(t *testing.T) {
	c := qt.New(t)
	old, now := accounting.NewOwner(), start
	first, second := accounting.NewLedger(model, "z/drafts/0", 1), accounting.NewLedger(model, "z/drafts/1", 1)
	first.Charge(7, 600)
	second.Charge(7, 400)
	for range 2 {
		exchangeReports(now, first, "r0", old)
		exchangeReports(now, second, "r1", old)
		first.RequestTotal(7)
	}
	c.Assert(first.Counter(7), qt.Equals, uint64(1000))
	owner := accounting.NewOwner()
	for range 4 {
		now = now.Add(time.Second)
		first.RequestTotal(7)
		exchangeReports(now, first, "r0", owner)
	}
	c.Assert(owner.Total(model, 7), qt.Equals, uint64(1000))
	second.Charge(7, 50)
	exchangeReports(now, second, "r1", owner)
	c.Assert(owner.Total(model, 7) <= 1050, qt.IsTrue)
	for range 4 {
		second.RequestTotal(7)
		exchangeReports(now, second, "r1", owner)
	}
	c.Assert(owner.Total(model, 7), qt.Equals, uint64(1050))
	c.Assert(second.Counter(7), qt.Equals, uint64(1050))
	c.Assert(first.Counter(7), qt.Equals, uint64(1000))
}

// TestFormerOwner guards against an owner that keeps the totals of a shard after losing it. They would be stale when the shard
// comes back.
func TestFormerOwner(t *testing.T) {
	c := qt.New(t)
	targets := []membership.Target{{Name: "t", Model: model, Slots: 8}}
	view := func(state membership.State) membership.View {
		routers := []membership.Router{{Name: "a", State: state}, {Name: "b", State: membership.Up}}
		return membership.NewView("a", routers, targets)
	}
	owner, shards := accounting.NewOwner(), uint32(0)
	owner.UpdateView(view(membership.Up))
	for customer := range uint32(64) {
		shard := customer % accounting.ShardCount(view(membership.Up))
		accounts := []*fleetpb.Account{{Customer: customer, Floor: 50}}
		owner.Receive(start, "r0", &fleetpb.Report{Model: model, Shard: shard, Source: "z/drafts/0", Accounts: accounts})
		shards = max(shards, shard+1)
	}
	owner.UpdateView(view(membership.Up))
	c.Assert(owner.Total(model, 1) == 50, qt.Equals, accounting.OwnerOf(view(membership.Up), model, 1%shards) == "a")
	owner.UpdateView(view(membership.Down))
	c.Assert(owner.Total(model, 1), qt.Equals, uint64(0))
}

// TestRefund guards against a counter that still charges a customer for refunded service, against a fleet-wide total that
// decreases after a refund, and against answers to another incarnation being applied.
func TestRefund(t *testing.T) {
	c := qt.New(t)
	owner, ledger := accounting.NewOwner(), accounting.NewLedger(model, "z/drafts/0", 1)
	ledger.Charge(7, 500)
	exchangeReports(start, ledger, "r0", owner)
	ledger.Refund(7, 400)
	c.Assert(ledger.Counter(7), qt.Equals, uint64(100))
	ledger.Charge(7, 300)
	c.Assert(ledger.Counter(7), qt.Equals, uint64(400))
	ledger.Charge(7, 200)
	exchangeReports(start, ledger, "r0", owner)
	c.Assert(owner.Total(model, 7), qt.Equals, uint64(600))
	ledger.Receive(&fleetpb.Totals{
		Model: model, Source: "z/drafts/0", Incarnation: 2, Totals: []*fleetpb.Total{{Customer: 7, Total: 9000}},
	})
	c.Assert(ledger.Counter(7), qt.Equals, uint64(600))
}

// TestPeriod guards against report traffic that grows with the number of shards in a large fleet, and against a longer period in a
// small fleet.
func TestPeriod(t *testing.T) {
	c := qt.New(t)
	const base = 250 * time.Millisecond
	c.Assert(accounting.ReportPeriod(base, 1), qt.Equals, base)
	c.Assert(accounting.ReportPeriod(base, 16), qt.Equals, base)
	c.Assert(accounting.ReportPeriod(base, 64), qt.Equals, time.Second)
}
