package claim_test

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chicorydale/chicorydale/internal/claim"
)

// TestMain fixes the seed of rapid, so that each run plays the same schedules.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.checks": "300"} {
		if flag.Lookup(name).Value.String() == flag.Lookup(name).DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// action is one command of a schedule and the time that passes after it.
type action struct {
	Command    string
	Key, Pause int
}

// faults are the commands of schedules besides calls.
var faults = strings.Split("call NODE TIME b;abandon;append works;append refuses;append loses;append delays;append swallows;"+
	"append crawls;reads fail;reads work;part NODE;join;kill NODE;kill owner;pause NODE;wake NODE;lag NODE;sending TIME;"+
	"sending 0s;expire 0s;expire TIME;target rejects;target runs;demote NODE", ";")

// schedules draws calls of few keys among faults of the log, the network, the routers and the target.
var schedules = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
	node := rapid.SampledFrom([]string{"r0", "r1", "r2"}).Draw(t, "node")
	duration := rapid.SampledFrom([]string{"30ms", "300ms", "1500ms"}).Draw(t, "time")
	verb := "call NODE TIME"
	if rapid.IntRange(0, 2).Draw(t, "fault") > 0 {
		verb = rapid.SampledFrom(faults).Draw(t, "verb")
	}
	return action{
		Command: strings.NewReplacer("NODE", node, "TIME", duration).Replace(verb),
		Key:     rapid.IntRange(0, 2).Draw(t, "key"),
		Pause:   rapid.IntRange(0, 300).Draw(t, "pause"),
	}
}), 10, 60)

// play runs a schedule, then ends all faults.
func play(v variant, actions []action) *world {
	w := newWorld(v, "r0", "r1", "r2")
	keys := []string{w.key(0, 0), w.key(1, -50*time.Millisecond), w.key(2, 8*time.Second)}
	for _, a := range actions {
		w.do(keys[a.Key], a.Command)
		w.pass(time.Duration(a.Pause) * time.Millisecond)
	}
	w.play("append works, reads work, wake r0, wake r1, wake r2, join, pass 4s")
	return w
}

// TestScheduleProperties guards against every broken promise under faults that meet each other in any order.
func TestScheduleProperties(t *testing.T) {
	outcomes := make(map[claim.Outcome]int)
	rapid.Check(t, func(t *rapid.T) {
		w := play(variant{limits: limits()}, schedules.Draw(t, "schedule"))
		for _, made := range w.calls {
			outcomes[made.outcome]++
		}
		wrong := w.violations()
		for _, n := range w.nodes {
			if n.holder.OpenClaimCount() > 0 {
				wrong = append(wrong, "claims stay unsettled after all faults have ended: "+n.name)
			}
		}
		if len(wrong) > 0 {
			t.Fatal(wrong)
		}
	})
	t.Logf("outcomes of calls: %v", outcomes)
	qt.Check(t, outcomes[claim.OutcomeHeld] > 0 && outcomes[claim.OutcomeReplay] > 0, qt.IsTrue)
}

// variantSchedules is the number of schedules of which at least one must break a promise. The rarest variant breaks one
// in 18 of 1,000.
const variantSchedules = 1000

// TestScheduleVariants guards against checks that cannot fail: the same schedules break a promise once a mechanism is
// switched off.
func TestScheduleVariants(t *testing.T) {
	for name, without := range map[string]func(*variant){
		"sends before the read-back": eager, "sends without a last check": late, "takes a lost answer as failed": assume,
		"has no age limit": ageless, "ignores lost records": forget,
	} {
		v := variant{limits: limits()}
		without(&v)
		t.Run(name, func(t *testing.T) {
			for seed := range variantSchedules {
				if wrong := play(v, schedules.Example(seed)).violations(); len(wrong) > 0 {
					t.Logf("schedule %d breaks a promise: %s", seed, strings.Join(wrong, "; "))
					return
				}
			}
			t.Fatalf("none of %d schedules breaks a promise", variantSchedules)
		})
	}
}
