package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// refusalBody is the body of a refusal.
type refusalBody struct {
	Code    refusal.Code `json:"code"`
	Message string       `json:"message"`
	Ran     refusal.Ran  `json:"ran"`
}

// giveUp ends a request that gets no further target. A target's own failure is passed on rather than replaced. A request
// that may have run is never refused as one that did not.
func (x *exchange) giveUp(refused *refusal.Error) {
	switch {
	case x.began:
		event.StreamBroken.Log(x.gateway.logger, x.call.ID, x.record.target, x.record.bytes, refused)
		panic(http.ErrAbortHandler)
	case x.failure != nil:
		x.pass(x.failure)
	case x.ran && refused.Ran == refusal.RanNo:
		x.refuse(refusal.New(refusal.TargetFailed, "the target failed, and no other one has room").WithUnknown())
	default:
		x.refuse(refused)
	}
}

// refuse answers with a refusal. Callers come back on a new connection, so this one is closed.
func (x *exchange) refuse(refused *refusal.Error) {
	status := refused.Code.Status()
	if refused.Code == refusal.Expired && refused.Ran == refusal.RanNo {
		status = http.StatusServiceUnavailable
	}
	x.gateway.metrics.Refused(refused.Code)
	header := x.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Connection", "close")
	pause := time.Duration(0)
	if !refused.RetryAt.IsZero() {
		pause = max(time.Until(refused.RetryAt), 0)
		header.Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 2, 64))
	}
	body, err := json.Marshal(refusalBody{refused.Code, refused.Message, refused.Ran})
	if err != nil {
		event.Panicked.Log(x.gateway.logger, err, "")
	}
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		event.CallerLeft.Log(x.gateway.logger, x.call.ID, x.record.target, time.Since(x.arrived).Milliseconds())
	}
	if !x.gateway.refusals.permits(time.Now(), refusalKind{x.customer, refused.Code, refused.Message}) {
		return
	}
	event.RequestRefused.Log(x.gateway.logger, x.call.ID, x.customer, x.name(), string(refused.Code), refused.Message,
		string(refused.Ran), status, pause.Milliseconds(), x.record.waited.Milliseconds(),
		time.Since(x.arrived).Milliseconds(), x.sent, x.record.version, x.gateway.config.age().Milliseconds())
}

// left notes that the caller left before the end of its answer.
func (x *exchange) left() {
	event.CallerLeft.Log(x.gateway.logger, x.call.ID, x.record.target, time.Since(x.arrived).Milliseconds())
	panic(http.ErrAbortHandler)
}

// name returns the name of the route, empty if none was found.
func (x *exchange) name() string {
	if x.route == nil {
		return ""
	}
	return x.route.Name
}
