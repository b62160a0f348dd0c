package config_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

// tickInterval is the simulated time between two ticks.
const tickInterval = 50 * time.Millisecond

// scheduledAction is a function to run at the first tick at or after a time.
type scheduledAction struct {
	at  time.Time
	run func()
}

// publishCall is one call of Publish in the history that porcupine checks.
type publishCall struct {
	change config.Change
	// startedAt and endedAt are Unix times in nanoseconds; endedAt is zero until there is a result.
	startedAt, endedAt int64
	result             config.Result
}

// simulation runs several stores, an in-memory log and the links between the stores in virtual time. Stores are
// identified by their index.
type simulation struct {
	now          time.Time
	rng          *rand.Rand
	options      []config.Option
	stores       []*config.Store
	logRetention time.Duration

	// records are all records ever appended; those below the offset logStart have expired.
	records  []external.Record
	logStart uint64
	// logOutage makes the log unavailable to all stores, logUnreachable to single ones. loseAppendReplies loses the
	// replies of some appends, and disconnected drops all messages from and to a store.
	logOutage, loseAppendReplies bool
	logUnreachable, disconnected map[int]bool
	maxAppendDelay               time.Duration

	scheduled []scheduledAction
	// callsByTicket holds the calls of each store since its last start.
	callsByTicket map[int]map[uint64]*publishCall
	allCalls      []*publishCall
	// idByVersion is the id of the change that led to each version.
	idByVersion map[uint64]string
	// violations describes the invariants that were found broken.
	violations      []string
	snapshotAppends int
}

// newSimulation returns a simulation of new stores and an empty log. The seed decides all random choices.
func newSimulation(seed uint64, stores int, options ...config.Option) *simulation {
	sim := &simulation{
		now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(seed, 7)), options: options,
		stores: make([]*config.Store, stores), logUnreachable: make(map[int]bool), disconnected: make(map[int]bool),
		callsByTicket: make(map[int]map[uint64]*publishCall), idByVersion: make(map[uint64]string), logRetention: time.Hour,
	}
	for i := range stores {
		sim.restart(i)
	}
	return sim
}

// restart replaces a store with a new one without state. The calls of the old store never get a result.
func (sim *simulation) restart(i int) {
	sim.callsByTicket[i] = make(map[uint64]*publishCall)
	sim.stores[i] = config.NewStore(append(sim.options, config.WithSeed(uint64(i)+sim.rng.Uint64()))...)
	for j := range sim.stores {
		if sim.stores[j] != nil && j != i {
			sim.stores[j].Disconnected(sim.now, storeName(i))
			sim.stores[j].Connected(sim.now, storeName(i), sim.rng.Uint64())
			sim.stores[i].Connected(sim.now, storeName(j), 1)
		}
	}
}

// storeName returns the router name of a store.
func storeName(i int) string { return fmt.Sprintf("r%d", i) }

// schedule runs a function after a delay.
func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.scheduled = append(sim.scheduled, scheduledAction{at: sim.now.Add(delay), run: run})
}

// runFor advances the simulation by a duration, tick by tick.
func (sim *simulation) runFor(duration time.Duration) {
	for range duration / tickInterval {
		sim.tick()
	}
}

// tick advances the time by tickInterval, expires records of the log and runs all stores once. It records a violation if
// the version or offset of a store decreased.
func (sim *simulation) tick() {
	sim.now = sim.now.Add(tickInterval)
	actions := slices.Clone(sim.scheduled)
	sim.scheduled = nil
	for _, action := range actions {
		if action.at.After(sim.now) {
			sim.scheduled = append(sim.scheduled, action)
			continue
		}
		action.run()
	}
	for len(sim.records) > int(sim.logStart) && sim.now.Sub(sim.records[sim.logStart].AppendedAt) > sim.logRetention {
		sim.logStart++
	}
	for i, store := range sim.stores {
		version, offset := store.State().Version(), store.Offset()
		sim.deliverPage(i)
		sim.sendHeartbeats(i)
		effects, results := store.Tick(sim.now)
		sim.apply(i, effects, results)
		if store.State().Version() < version || store.Offset() < offset {
			sim.violations = append(sim.violations,
				fmt.Sprintf("%s went back from version %d, offset %d", storeName(i), version, offset))
		}
		sim.checkSameChanges(store)
	}
}

// checkSameChanges records a violation if a store has a different change for a version than another store had.
func (sim *simulation) checkSameChanges(store *config.Store) {
	snapshot := config.NewSnapshot(store.State(), 0)
	for _, accepted := range snapshot.Accepted[max(0, len(snapshot.Accepted)-3):] {
		if id, known := sim.idByVersion[accepted.Version]; known && id != accepted.ID {
			sim.violations = append(sim.violations, fmt.Sprintf("version %d is %s and %s", accepted.Version, id, accepted.ID))
		}
		sim.idByVersion[accepted.Version] = accepted.ID
	}
}

// deliverPage lets a store read up to eight records from the log.
func (sim *simulation) deliverPage(i int) {
	store := sim.stores[i]
	if sim.logOutage || sim.logUnreachable[i] {
		store.ReadFailed(sim.now, config.Stream)
		return
	}
	for _, position := range store.Positions() {
		from := min(max(position.Offset, sim.logStart), uint64(len(sim.records)))
		until := min(from+8, uint64(len(sim.records)))
		store.Page(sim.now, position.Stream, external.Page{
			Records: sim.records[from:until], FirstOffset: sim.logStart, EndOffset: uint64(len(sim.records)),
		})
	}
}

// sendHeartbeats sends a heartbeat from a store to all others, twice a second.
func (sim *simulation) sendHeartbeats(i int) {
	if sim.now.UnixMilli()%500 != 0 {
		return
	}
	store := sim.stores[i]
	heartbeat := &fleetpb.Heartbeat{ReadAt: store.ReadAt().UnixMilli(), ConfigOffset: store.Offset()}
	heartbeat.ConfigVersion = store.State().Version()
	for j := range sim.stores {
		if j != i {
			sim.deliverMessage(i, message.Envelope{
				To: storeName(j), Body: &fleetpb.Body{Kind: &fleetpb.Body_Heartbeat{Heartbeat: heartbeat}},
			})
		}
	}
}

// deliverMessage delivers a message at the next tick, unless one of the two stores is disconnected then.
func (sim *simulation) deliverMessage(from int, envelope message.Envelope) {
	to, _ := strconv.Atoi(envelope.To[1:])
	sim.schedule(tickInterval, func() {
		if !sim.disconnected[from] && !sim.disconnected[to] {
			sim.stores[to].Receive(sim.now, storeName(from), envelope.Body)
		}
	})
}

// apply carries out the effects of a store's tick and records the results of its calls.
func (sim *simulation) apply(i int, effects message.Effects, results []config.Result) {
	for _, envelope := range effects.Envelopes {
		sim.deliverMessage(i, envelope)
	}
	for _, record := range effects.Appends {
		sim.startAppend(i, record)
	}
	for _, result := range results {
		if call := sim.callsByTicket[i][result.Ticket]; call != nil {
			call.result, call.endedAt = result, sim.now.UnixNano()
		}
	}
}

// startAppend starts an append of a store. It fails if the log is unavailable. Otherwise the record is appended after a
// random delay of up to maxAppendDelay and the store gets the reply. With loseAppendReplies, some replies are replaced by
// an *external.UnsettledError, and the record is appended at once, up to 20 s later or never.
func (sim *simulation) startAppend(i int, record message.Append) {
	store := sim.stores[i]
	if decoded, err := config.DecodeRecord(record.Data); err == nil && decoded.Snapshot != nil {
		sim.snapshotAppends++
	}
	if sim.logOutage || sim.logUnreachable[i] {
		err := error(&external.UnavailableError{System: "log", Cause: errors.New("refused")})
		sim.schedule(tickInterval, func() { store.Appended(sim.now, record.ID, err) })
		return
	}
	delay := tickInterval + time.Duration(sim.rng.Int64N(int64(sim.maxAppendDelay)+1))
	unsettled := &external.UnsettledError{Stream: config.Stream, Cause: errors.New("reset")}
	switch {
	case sim.loseAppendReplies && sim.rng.IntN(3) == 0:
		sim.schedule(delay, func() { sim.appendRecord(record.Data); store.Appended(sim.now, record.ID, unsettled) })
	case sim.loseAppendReplies && sim.rng.IntN(2) == 0:
		sim.schedule(delay, func() { store.Appended(sim.now, record.ID, unsettled) })
		if sim.rng.IntN(2) == 0 {
			sim.schedule(delay+time.Duration(sim.rng.Int64N(int64(20*time.Second))), func() { sim.appendRecord(record.Data) })
		}
	default:
		sim.schedule(delay, func() { sim.appendRecord(record.Data); store.Appended(sim.now, record.ID, nil) })
	}
}

// appendRecord appends a record to the log.
func (sim *simulation) appendRecord(data []byte) {
	sim.records = append(sim.records, external.Record{Offset: uint64(len(sim.records)), AppendedAt: sim.now, Data: data})
}

// publish calls Publish of a store and records the call.
func (sim *simulation) publish(i int, change config.Change) *publishCall {
	call := &publishCall{change: change, startedAt: sim.now.UnixNano()}
	ticket := sim.stores[i].Publish(sim.now, change)
	sim.callsByTicket[i][ticket] = call
	sim.allCalls = append(sim.allCalls, call)
	return call
}

// encodedState returns the encoded state of a store, without its offset.
func (sim *simulation) encodedState(i int) string {
	snapshot := config.NewSnapshot(sim.stores[i].State(), 0)
	return string(config.Record{Snapshot: &snapshot}.Encode())
}

// checkLinearizable checks all calls against a sequential model: a register that holds the list of accepted ids, to which
// a call appends its id if the length of the list is the base of its change. A call without a known outcome may take
// effect at any later time or never.
func (sim *simulation) checkLinearizable() porcupine.CheckResult {
	operations := make([]porcupine.Operation, 0, len(sim.allCalls))
	for i, call := range sim.allCalls {
		ended := call.endedAt
		if ended == 0 || call.result.Outcome == config.OutcomeUnsettled {
			call.result.Outcome, ended = config.OutcomeUnsettled, 1<<62
		}
		operations = append(operations, porcupine.Operation{
			ClientId: i, Input: call.change, Call: call.startedAt, Output: call.result, Return: ended,
		})
	}
	model := porcupine.NondeterministicModel{
		Init: func() []interface{} { return []interface{}{""} },
		Step: registerStep,
	}
	return porcupine.CheckOperationsTimeout(model.ToModel(), operations, time.Minute)
}

// registerStep returns the possible values of the register after a call, or none if the result of the call contradicts the
// value before it. The value is the accepted ids, each followed by a space.
func registerStep(state, input, output interface{}) []interface{} {
	ids, change, result := state.(string), input.(config.Change), output.(config.Result)
	accepted := strings.Fields(ids)
	version := slices.Index(accepted, change.ID) + 1
	withChange := ids
	if uint64(len(accepted)) == change.Base && version == 0 {
		withChange = ids + change.ID + " "
		version = len(accepted) + 1
	}
	consistent := version > 0 && uint64(version) == result.Version
	switch result.Outcome {
	case config.OutcomeUnsettled:
		return []interface{}{ids, withChange}
	case config.OutcomePublished:
		ids = withChange
	case config.OutcomeRepeated:
		consistent = consistent && withChange == ids
	case config.OutcomeStale:
		consistent = version == 0
	default:
		consistent = true
	}
	if !consistent {
		return nil
	}
	return []interface{}{ids}
}
