package soak

import (
	"fmt"
	"net/http"
	"time"
)

// Promise is what routers promise to callers and targets.
type Promise string

// Promises that are checked.
const (
	AtMostOnce     Promise = "a request runs as often as its route allows"
	TrueRefusal    Promise = "a request that was refused as not run has not run"
	TrueAnswer     Promise = "an answer is that of a target to its own request"
	WholeAnswer    Promise = "an answer that has begun ends whole"
	AnsweredIfRead Promise = "a request that was read gets an answer"
)

// Violation is a promise that was broken for a call.
type Violation struct {
	Promise Promise
	Call    Call
	Runs    int
}

// String describes the violation.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s %s at router %d, %.2fs to %.2fs, ran %d times, status %d, whole %t, %.60q", v.Promise, v.Call.ID, v.Call.Path,
		v.Call.Router, v.Call.SentAt.Seconds(), v.Call.EndedAt.Seconds(), v.Runs, v.Call.Status, v.Call.Complete, v.Call.Body)
}

// maxRuns is the number of runs that the route of each path allows.
var maxRuns = map[string]int{bookPath: 1, streamPath: 1, lookPath: 2, resumePath: 2}

// Check returns the promises that were broken in a history. The map runs tells how often each request has run.
func Check(calls []Call, runs map[string]int, faults []Fault) []Violation {
	var violations []Violation
	for i := range calls {
		for _, promise := range brokenPromises(&calls[i], runs[calls[i].ID], faults) {
			violations = append(violations, Violation{Promise: promise, Call: calls[i], Runs: runs[calls[i].ID]})
		}
	}
	return violations
}

// brokenPromises returns the promises that were broken for a call.
func brokenPromises(call *Call, runs int, faults []Fault) []Promise {
	var broken []Promise
	if runs > maxRuns[call.Path] {
		broken = append(broken, AtMostOnce)
	}
	if saysNotRun(call.Status) && runs > 0 {
		broken = append(broken, TrueRefusal)
	}
	if call.Status == http.StatusOK && call.Complete && (runs == 0 || call.AnswerID != call.ID || call.Body != expectedBody(call)) {
		broken = append(broken, TrueAnswer)
	}
	if isExcused(call, faults) {
		return broken
	}
	if call.Status != 0 && !call.Complete {
		broken = append(broken, WholeAnswer)
	}
	if call.Status == 0 && runs > 0 {
		broken = append(broken, AnsweredIfRead)
	}
	return broken
}

// saysNotRun reports whether a status says that the request has not run.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isExcused reports whether a fault may have kept the answer from the caller. A router that drains answers what it has read, and one whose
// answers are late keeps them, so those faults excuse nothing.
func isExcused(call *Call, faults []Fault) bool {
	for _, fault := range faults {
		if fault.Router != call.Router || fault.Kind == Drain || fault.Kind == Delay {
			continue
		}
		if fault.Begin-clockSlack <= call.EndedAt && call.SentAt <= fault.End+clockSlack {
			return true
		}
	}
	return false
}

// clockSlack is how far the times of faults and of calls may be apart.
const clockSlack = 200 * time.Millisecond

// expectedBody returns the whole answer to a call.
func expectedBody(call *Call) string {
	if call.Path == bookPath || call.Path == lookPath {
		return "answer to " + call.ID
	}
	text := ""
	for number := 1; number <= streamEvents; number++ {
		text += fmt.Sprintf("id: %d\ndata: event %d\n\n", number, number)
	}
	return text
}
