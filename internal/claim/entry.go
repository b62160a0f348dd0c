package claim

import "slices"

// maxBuried bounds the remembered given-up claims of one key. If one is forgotten, a late copy of it can at worst block
// the key until the key expires.
const maxBuried = 16

// entrySize is the memory of an entry without answer, as measured by BenchmarkFold and rounded up.
const entrySize = 210

// entry is what the log says about one key.
type entry struct {
	// claim holds the key; empty if none does.
	claim    string
	answer   string
	deadline int64
	offset   uint64
	// buried lists claims that never hold the key any more: released ones, and ones that came while another held it. Nil
	// for most keys.
	buried   *[]string
	customer uint32
	status   uint32
	bodyHash [hashBytes]byte
	done     bool
}

// claimed applies a claim: it holds the key if no other does and it was not given up before.
func (e *entry) claimed(record Record, offset uint64) {
	if e.claim == record.Claim || e.has(record.Claim) {
		return
	}
	if e.claim != "" {
		e.bury(record.Claim)
		return
	}
	e.claim, e.customer, e.bodyHash = record.Claim, record.Customer, shortHash(record)
	e.deadline, e.offset = record.Deadline, offset
}

// finished applies the answer of the claim that holds the key.
func (e *entry) finished(record Record) {
	if e.claim != record.Claim || e.done {
		return
	}
	e.done, e.status, e.answer = true, record.Status, string(record.Answer)
}

// released gives a claim up, whether it was read already or is yet to come. An answered claim stays.
func (e *entry) released(claim string) {
	if e.claim == claim {
		if e.done {
			return
		}
		*e = entry{buried: e.buried}
	}
	if !e.has(claim) {
		e.bury(claim)
	}
}

// bury remembers a claim that must never hold the key.
func (e *entry) bury(claim string) {
	if e.buried == nil {
		e.buried = new([]string)
	}
	if len(*e.buried) >= maxBuried {
		*e.buried = slices.Delete(*e.buried, 0, 1)
	}
	*e.buried = append(*e.buried, claim)
}

// has tells whether a claim was given up.
func (e *entry) has(claim string) bool {
	return e != nil && e.buried != nil && slices.Contains(*e.buried, claim)
}

// shortHash returns the bytes of a body hash that count.
func shortHash(record Record) (short [hashBytes]byte) {
	copy(short[:], record.BodyHash)
	return short
}
