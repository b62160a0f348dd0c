package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/gateway"
	"github.com/chicorydale/chicorydale/internal/quarantine"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

// claimTopic is a topic in memory with conditional appends.
type claimTopic struct {
	topiclog.Topic

	mu   sync.Mutex
	end  uint64
	keys map[string][]byte
	down bool
	era  uint64
	// pause is the time for which the process is held up after an append.
	pause time.Duration
	// faults lets appends end in errors, written, not written or written later, if it is set.
	faults *rand.Rand
}

// lateWrite is the time after which an append without an answer may take effect, if its condition still holds.
const lateWrite = 2 * time.Second

func (c *claimTopic) ReadNewest(context.Context) (topiclog.Page, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return topiclog.Page{}, errors.New("the store cannot be reached")
	}
	page := topiclog.Page{NextOffset: c.end, Era: c.era}
	for key, value := range c.keys {
		page.Records = append(page.Records, topiclog.Record{Key: key, Value: value})
	}
	return page, nil
}

func (c *claimTopic) Append(_ context.Context, at uint64, records []topiclog.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	fault := 0
	if c.faults != nil {
		fault = c.faults.IntN(20)
	}
	switch fault {
	case 1:
		return errNoAnswer
	case 2:
		time.AfterFunc(lateWrite, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			_ = c.write(at, records) // Nobody waits for the answer any more.
		})
		return errNoAnswer
	}
	if err := c.write(at, records); err != nil {
		return err
	}
	if fault == 3 {
		return errNoAnswer
	}
	for end := boottime.Now().Add(c.pause); boottime.Now().Before(end); { // The clock of the test does not go on in a suspended host.
		runtime.Gosched()
	}
	return nil
}

// errNoAnswer is the error of an append of which it is not known whether it was written.
var errNoAnswer = errors.New("no answer of the store")

// write writes all records or none. The caller must hold c.mu.
func (c *claimTopic) write(at uint64, records []topiclog.Record) error {
	if at != c.end {
		return &topiclog.ConflictError{Offset: at}
	}
	for _, record := range records {
		c.keys[record.Key] = record.Value
		c.end++
	}
	return nil
}

// crashThrice records three crashes at routers.
func crashThrice(gates ...gateway.SendGate) {
	for _, gate := range gates {
		for i := range 3 {
			gate.RecordCrash(quarantine.Crash{ID: fmt.Sprint("t/", i)})
		}
	}
}

// TestWaitingRequestIsRefusedOnceQuarantined guards against a request that was admitted before its quarantine, waited for a target, and is
// sent to it after that.
func TestWaitingRequestIsRefusedOnceQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := gateway.NewSendGate(&claimTopic{keys: make(map[string][]byte)}, 1, 1)
		qt.Assert(t, gate.Admit(), qt.IsTrue)
		crashThrice(gate)
		qt.Check(t, gate.Authorize(t.Context()), qt.IsFalse)
	})
}

// TestPausedRouterSendsNoProbe guards against a probe that is sent by a permission that has run out while the process was held up or its host
// suspended.
func TestPausedRouterSendsNoProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &claimTopic{keys: make(map[string][]byte), pause: 1100 * time.Millisecond}
		gate := gateway.NewSendGate(topic, 1, 1)
		crashThrice(gate)
		for !gate.Admit() {
			time.Sleep(time.Second)
		}
		qt.Check(t, gate.Authorize(t.Context()), qt.IsFalse)
		qt.Check(t, topic.keys, qt.HasLen, 1) // The claim was written.
	})
}

// TestRoutersShareProbes guards against routers that each send probes of what crashes targets, beside each other or one after the other,
// and against a router that sends one while it cannot ask the store.
func TestRoutersShareProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &claimTopic{keys: make(map[string][]byte)}
		gates := make([]gateway.SendGate, 9)
		for i := range gates {
			gates[i] = gateway.NewSendGate(topic, 1, uint64(i))
		}
		crashThrice(gates...)
		sendAll := func() (sent int) {
			for _, gate := range gates {
				if gate.Admit() && gate.Authorize(t.Context()) {
					gate.Sent()
					sent++
				}
			}
			return sent
		}
		topic.down = true
		time.Sleep(5 * time.Second)
		qt.Check(t, sendAll(), qt.Equals, 0)
		topic.down = false
		total := 0
		for range 600 {
			time.Sleep(time.Second)
			sent := sendAll()
			qt.Check(t, sent <= 1, qt.IsTrue, qt.Commentf("%d at once", sent))
			total += sent
		}
		qt.Check(t, total, qt.Equals, quarantine.DefaultLimits().MaxProbesAlone)
	})
}

// TestProbesCountAfterRestore guards against routers that send probes beyond the bound because the store came back from a copy without their claims,
// before or after those of them that live have written them again.
func TestProbesCountAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &claimTopic{keys: make(map[string][]byte), era: 1}
		gates := make([]gateway.SendGate, 9)
		for i := range gates {
			gates[i] = gateway.NewSendGate(topic, 1, uint64(i))
		}
		crashThrice(gates...)
		total := 0
		random := rand.New(rand.NewPCG(1, 12))
		sendAllFor := func(seconds int) {
			for range seconds {
				time.Sleep(time.Second)
				random.Shuffle(len(gates), func(i, j int) { gates[i], gates[j] = gates[j], gates[i] })
				for _, gate := range gates {
					if gate.Admit() && gate.Authorize(t.Context()) {
						gate.Sent()
						total++
					}
				}
			}
		}
		for range 4 {
			for before := total; total == before && total < quarantine.DefaultLimits().MaxProbesAlone; {
				sendAllFor(1)
			}
			topic.era++
			clear(topic.keys)
			sendAllFor(2) // Some routers learn of the restore by their reads.
			for _, gate := range gates {
				gate.StoreRestored(t.Context())
			}
		}
		sendAllFor(60)
		qt.Check(t, total, qt.Equals, quarantine.DefaultLimits().MaxProbesAlone)
	})
}

// TestClaimOfUnsentProbeIsTakenBackOnce guards against probes that reached no target and count all the same, so that sound requests are refused
// for long, and against a claim that is taken back although its probe was sent, or twice because an answer of the store was lost: then what
// crashes targets is sent to them too often.
func TestClaimOfUnsentProbeIsTakenBackOnce(t *testing.T) {
	const seeds, unsentFraction, takeBackEvery = 60, 0.5, 3
	allowed := quarantine.DefaultLimits().MaxProbesAlone
	exhausted, unsent := 0, 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 11))
			topic := &claimTopic{keys: make(map[string][]byte), faults: random}
			gates := make([]gateway.SendGate, 9)
			for i := range gates {
				gates[i] = gateway.NewSendGate(topic, 1, seed*100+uint64(i))
			}
			crashThrice(gates...)
			sent := 0
			for range 300 {
				time.Sleep(time.Second)
				for _, gate := range gates {
					switch {
					case !gate.Admit() || !gate.Authorize(t.Context()):
						gate.Unsent()
					case random.Float64() < unsentFraction:
						gate.Unsent()
						unsent++
					default:
						gate.Sent()
						sent++
					}
					if random.IntN(takeBackEvery) == 0 {
						gate.TakeBack(t.Context())
					}
				}
			}
			qt.Check(t, sent <= allowed, qt.IsTrue, qt.Commentf("seed %d: %d probes were sent", seed, sent))
			if sent == allowed {
				exhausted++
			}
		})
	}
	t.Logf("%d probes reached no target; all %d were sent in %d of %d runs", unsent, allowed, exhausted, seeds)
	qt.Check(t, exhausted >= seeds*9/10, qt.IsTrue, qt.Commentf("all allowed probes were sent in %d of %d runs only", exhausted, seeds))
}
